package bucketer_test

import "flag"

// The properties are checked with a fixed seed, so that a failure can be repeated.
func init() { _ = flag.Set("rapid.seed", "1") }
