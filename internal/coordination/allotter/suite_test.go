package allotter_test

import "flag"

// A fixed seed makes the property tests repeatable.
func init() { _ = flag.Set("rapid.seed", "1") }
