package placer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
)

// newServiceDeployment returns a deployment of a plain service.
func newServiceDeployment(count int) *deployment {
	d := newDeployment(count)
	d.service.Engine = nil
	for i := range d.members {
		d.members[i].Spec.BaseModel, d.members[i].Spec.Slots = "", 4
	}
	d.publish()
	return d
}

// playRandomCalls places and ends random calls, and adds each choice with its estimates to digest.
func playRandomCalls(d *deployment, digest *xxhash.Digest) {
	random, now := rand.New(rand.NewPCG(3, 4)), start
	var running []placer.Choice
	for range 3000 {
		now = now.Add(time.Duration(random.IntN(20_000)) * time.Microsecond)
		switch random.IntN(4) {
		case 0:
			d.report(now, random.IntN(len(d.members)), placer.EngineState{
				Adapters: held(fmt.Sprint("a", random.IntN(12))), Running: random.IntN(20),
				BacklogMillis: random.IntN(400), WaitingMillis: random.IntN(100), Cached: []uint32{random.Uint32N(20)},
			})
		case 1, 2:
			c := adapterCall(fmt.Sprint("a", random.IntN(12)), 100+random.IntN(12_000))
			c.Parts, c.PartTokens = []uint32{random.Uint32N(20), random.Uint32()}, []int{c.Tokens / 2, c.Tokens / 2}
			var choice placer.Choice
			if err := d.placer.Choose(now, c, &choice); err != nil {
				continue
			}
			running = append(running, choice)
			_, _ = fmt.Fprintln(digest, choice.Name, choice.Expected, choice.Backlog, choice.Read, choice.Load, choice.Duration)
		default:
			if len(running) == 0 {
				continue
			}
			choice := &running[0]
			d.placer.ReportLoad(now, choice, random.IntN(4))
			d.placer.RecordFirstByte(now, choice)
			d.placer.Finish(now, choice, placer.OutcomeSuccess)
			running = running[1:]
		}
	}
}

// Guards against a change of the choices on earlier deployments, whose servers report no slowdown
// factor. The digest is that of the choices at commit 5050dff, which knew nothing of the factor.
var _ = It("Backend servers that report no slowdown factor are chosen as before", func() {
	digest := xxhash.New()
	for _, d := range []*deployment{newDeployment(9), newServiceDeployment(6)} {
		playRandomCalls(d, digest)
	}
	Expect(digest.Sum64()).To(Equal(uint64(2408975683704593186)))
})
