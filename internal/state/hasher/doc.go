// Package hasher contains hash functions whose results all processes agree on, for
// orders that every process must compute in the same way.
package hasher
