package configurer

// LimitSettings are what the process may use of its host. Its listeners share what connections and
// requests may hold.
type LimitSettings struct {
	// Memory is the memory that the process may use; by default that of the host, or the environment
	// variable GOMEMLIMIT if that is less.
	Memory Size

	// Descriptors is the number of descriptors that the process may have open; the limit of the operating
	// system by default.
	Descriptors int
}

// The ranges of LimitSettings, beside 0 for the default.
const (
	minMemory      = 64 * MiB
	maxMemory      = 1 << 20 * MiB
	minDescriptors = 256
)

// limits checks the section Limits.
func (c *checker) limits(l LimitSettings) {
	if l.Memory != 0 {
		checkRange(c, "Limits.Memory", l.Memory, minMemory, maxMemory)
	}
	if l.Descriptors != 0 {
		checkRange(c, "Limits.Descriptors", l.Descriptors, minDescriptors, maxCount)
	}
}
