// Package configurer reads, checks and completes the settings of one process.
//
// A settings file is JSON with comments and trailing commas. Its names are the
// names of the struct fields, in Pascal case. Parse refuses what it doesn't
// know: an unknown field, a field given twice, a null, a duration or a size
// without its unit. Each fault becomes a Problem with its line and column, and
// a file's faults are collected, so that one run of "settings check" shows what
// there is to mend.
//
// The zero value of each field stands for the default that its comment
// documents. WithDefaults puts the defaults in; Load returns settings that have
// passed through it and through Check.
//
// Secrets aren't part of a settings file: the file names the files that hold
// them, and ReadSecret refuses one that others on the host can read.
package configurer
