// Package guarder holds a check of the whole source: a field whose comment names the lock
// that guards it is used under that lock only.
//
// A race detector finds such a use where two goroutines meet in a run. This finds it in
// the text, as far as the text tells: by names, without types.
package guarder
