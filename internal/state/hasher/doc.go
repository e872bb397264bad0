// Package hasher orders things by hashes that all processes agree on.
package hasher
