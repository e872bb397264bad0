// Package operator serves the resource API, with which operators declare workspaces,
// adapters, versions, priority rules, services and keys, and watch what is in force.
//
// The API is stateless. A change is proposed to the control hosts, and answered once it
// is committed. A read is answered by a control host after a read barrier, so it includes
// everything accepted before. Every change has an idempotency key, given by the operator
// or generated here, so that it takes effect at most once even if it is sent repeatedly.
//
// Documents are JSON with PascalCase fields. A watch responds with JSON lines, one Event
// per line, which can be read without a client library.
package operator
