// Package operator serves the resource API, by which operators declare
// workspaces, adapters, versions, priority rules, services and keys, and watch
// what is in force.
//
// The API holds no state. A change is proposed to the control hosts and
// answered once it is committed; a read is answered by a control host behind a
// read barrier, so an operator always reads what was accepted before. Every
// change carries an idempotency key, the operator's or one made here, so that it
// takes effect at most once however often it is sent.
//
// Documents are JSON with PascalCase fields. A watch answers with JSON lines:
// one Event to a line, which any tool reads without a client library.
package operator
