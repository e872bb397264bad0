package soaker

import (
	"fmt"
	"sync"
	"time"
)

// findings are the broken promises that a soak has found. It is safe for concurrent use.
type findings struct {
	began time.Time

	mu sync.Mutex
	// list holds the findings in order; guarded by mu.
	list []string
}

func (f *findings) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fmt.Sprintf("%8.3f s  ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

func (f *findings) all() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.list...)
}
