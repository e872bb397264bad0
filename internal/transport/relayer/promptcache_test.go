package relayer_test

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"marigoldpoint.example/marigoldpoint/internal/coordination/cacher"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

var _ = Describe("A call whose prefix a busy engine has cached", func() {
	var (
		fetched chan string
		source  *backend
		e       *entry
	)
	BeforeEach(func() {
		fetched = make(chan string, 1)
		source = newBackend(text("200", signed, "source"))
		idle := newBackend(func(c net.Conn, r *http.Request) {
			fetched <- r.Header.Get("Fetch")
			text("200", signed, "idle")(c, r)
		})
		linked := &tracker.Engine{Slots: 8, MaxAdapters: 8, Models: []tracker.Model{{Name: "m"}}, KVTokenBytes: 1, LinkMbps: 1e6}
		e = newEntryWith(placer.Settings{PromptCache: cacher.ModeWeighed}, runOnce, linked, source, idle)
		now := time.Now()
		for i, name := range []string{"b0", "b1"} {
			e.placer.Report(now, "s", placer.EngineState{
				Name: name, Incarnation: "i-" + string(rune('0'+i)), Life: 1, Sequence: 1, Whole: true, Models: []string{"m"}, MaxAdapters: 8, BacklogMillis: 5000 * (1 - i),
			})
			u := cacher.Update{Whole: true, Room: 1_000_000}
			if i == 0 {
				u.Parts = []cacher.Position{{Hash: placer.PartHash("m", "", 0, 0, 7)}}
			}
			e.placer.ReportCache(now, "s", placer.CacheState{Name: name, Incarnation: "i-" + string(rune('0'+i)), Life: 1, Sequence: 1, Update: u})
		}
	})
	call := func() { e.call(context.Background(), map[string]string{"Model": "m", "Parts": "7:6300,8"}) }

	It("goes to an idle engine, which fetches the prefix from the busy one", func() {
		call()
		Expect(fetched).To(Receive(Equal(source.network.Addr().String())))
		Eventually(e.log).Should(gbytes.Say(`"PromptCache":"Weighed","Cached":6300,"CachedProbability":[0-9.]+,"FetchFrom":"127`))
	})

	// Guards against a fetch that an engine waits for in vain: its source left while the call
	// waited for admission.
	It("is prefilled if the busy one leaves before the call is sent", func() {
		e.mu.Lock()
		e.admit = func(m messenger.Admit) (messenger.Admitted, error) {
			e.put(storer.KindMember, "b0", member(0, source, storer.MemberStateLeaving))
			return messenger.Admitted{Version: m.Version}, nil
		}
		e.mu.Unlock()
		call()
		Expect(fetched).To(Receive(BeEmpty()))
	})
})
