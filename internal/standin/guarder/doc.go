// Package guarder checks the source of the module: a field whose comment names the lock that
// guards it must be used only while that lock is held.
//
// A race detector reports such a use only if two goroutines conflict during a run. This check
// finds it in the source, by names only and without type information.
package guarder
