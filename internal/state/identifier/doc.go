// Package identifier tells which requests are the same, whichever host they come to and
// whatever id their caller gave each attempt.
package identifier
