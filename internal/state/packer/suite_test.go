package packer_test

import "flag"

// A fixed seed makes the property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }
