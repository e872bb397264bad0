package pauser_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		start := time.Now()
		g.Expect(pauser.Pause(ctx, time.Second)).To(BeTrue())
		g.Expect(time.Since(start)).To(Equal(time.Second))
		g.Expect(pauser.Pause(ctx, time.Hour)).To(BeFalse())
		g.Expect(time.Since(start)).To(Equal(time.Minute))
	})
}
