// Package configurer reads, checks and completes the settings of one process.
//
// A settings file is JSON with comments and trailing commas. Its names are the names of
// the struct fields, in Pascal case. Parse refuses an unknown field, a field given
// twice, a null, and a duration or a size without its unit. Each error becomes a Problem
// with its line and column. All problems of a file are collected, so that one run of
// "settings check" reports everything that has to be corrected.
//
// The zero value of each field stands for the default in its comment. WithDefaults
// fills in the defaults. Load returns settings that have passed Check and contain the
// defaults.
//
// Secrets are not part of a settings file: the file names the files that contain them,
// and ReadSecret refuses a file that other users of the host can read.
package configurer
