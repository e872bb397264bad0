// Package auditor checks promises that concern all entries of a deployment together, by what its
// callers send and its backend servers read.
package auditor
