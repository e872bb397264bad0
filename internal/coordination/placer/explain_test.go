package placer_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// twins are two placers with the same state, and the calls in progress at each.
type twins struct {
	placers [2]*placer.Placer
	calls   [2][]*placer.Choice
	tracker *tracker.Tracker
	now     time.Time
	service string
	// sequence is the last one of a report, and revision that of the view.
	sequence, revision uint64
}

const plainService = "plain"

func newTwins(t *rapid.T) *twins {
	w := &twins{now: start, service: rapid.SampledFrom([]string{engines, engines, plainService, plainService, "none"}).Draw(t, "service")}
	w.tracker = tracker.NewTracker(tracker.Settings{Decode: func([]byte) (*tracker.Routing, error) {
		r := &tracker.Routing{Number: 1, Services: []tracker.Service{
			{Name: engines, Engine: &tracker.Engine{Slots: 4, MaxAdapters: 2, Models: []tracker.Model{{Name: model}}}}, {Name: plainService},
		}, Routes: []tracker.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Stream: true, MaxEventGap: 400 * time.Millisecond, Shares: []tracker.Share{{Service: engines, Weight: 1}}}}}
		err := r.Compile()
		return r, err
	}})
	resources := []storer.Resource{{Kind: storer.KindRouting, Spec: storer.RoutingSpec{Number: 1}}}
	for i := range rapid.IntRange(0, 9).Draw(t, "members") {
		resources = append(resources, w.member(i, 0, storer.MemberStateServing))
	}
	w.revision++
	if err := w.tracker.Reset(resources, w.revision); err != nil {
		t.Fatal(err)
	}
	mode := rapid.SampledFrom([]separator.Mode{separator.ModeMixed, separator.ModeSeparate, separator.ModeSeparate}).Draw(t, "long prompts")
	for i := range w.placers {
		w.placers[i] = placer.NewPlacer(placer.Settings{LongPrompts: mode, Node: "n", FailureDomain: "d0", MinFollowed: 2, Random: rand.New(rand.NewPCG(1, 2))})
		w.placers[i].SetView(w.tracker.View())
	}
	return w
}

func (w *twins) member(i, incarnation int, state storer.MemberState) storer.Resource {
	return storer.Resource{Kind: storer.KindMember, Metadata: storer.Metadata{Name: fleetName(i)}, Spec: storer.MemberSpec{
		Service: w.service, Incarnation: fmt.Sprint(i, ".", incarnation), Address: fleetName(i), BaseModel: model, Slots: 1 + i%3,
		FailureDomain: "d" + strconv.Itoa(i%4), Software: strconv.Itoa(i % 2), State: state,
	}}
}

// each applies f to both placers.
func (w *twins) each(f func(p *placer.Placer, calls *[]*placer.Choice)) {
	for i, p := range w.placers {
		f(p, &w.calls[i])
	}
}

// step changes the state of both placers in the same way.
func (w *twins) step(t *rapid.T) {
	i := rapid.IntRange(0, 8).Draw(t, "server")
	name, amount := fleetName(i), rapid.IntRange(0, 2000).Draw(t, "amount")
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		r := w.member(i, amount%2, storer.MemberState(amount/2%2))
		w.revision++
		r.Metadata.Revision = w.revision
		if err := w.tracker.Apply([]storer.Change{{Revision: w.revision, Resource: r, Deleted: amount%5 == 0}}, w.revision); err != nil {
			t.Fatal(err)
		}
		w.each(func(p *placer.Placer, _ *[]*placer.Choice) { p.SetView(w.tracker.View()) })
	case 1, 2:
		w.sequence++
		s := placer.EngineState{
			Name: name, Whole: true, Life: 1, Sequence: w.sequence, Models: []string{model}[amount%5/4:], Running: amount % 6,
			BacklogMillis: amount, WaitingMillis: amount / 4, MaxAdapters: 2, Adapters: held(fmt.Sprint("a", amount%3)),
			Cached: []uint32{uint32(amount % 3)},
		}
		w.each(func(p *placer.Placer, _ *[]*placer.Choice) { p.Report(w.now, w.service, s) })
	case 3:
		until := w.now.Add(time.Duration(amount) * time.Millisecond)
		w.each(func(p *placer.Placer, _ *[]*placer.Choice) { p.Suspect(w.service, name, until) })
	case 4:
		s := placer.LimitState{Name: name, Incarnation: fmt.Sprint(i, ".0"), Named: amount%3 > 0, Rate: float64(amount % 5), WaitMillis: amount}
		w.each(func(p *placer.Placer, _ *[]*placer.Choice) { p.ReportLimit(w.now, w.service, s) })
	case 5:
		limits := []regulator.ServerLimit{{Server: name, Incarnation: fmt.Sprint(i, ".0"), Rate: float64(amount % 5)}}
		w.each(func(p *placer.Placer, _ *[]*placer.Choice) { p.SetScheduled(limits) })
	case 6:
		w.each(func(p *placer.Placer, _ *[]*placer.Choice) {
			if !p.Use(w.service, name) {
				p.Unuse(w.service, name)
			}
		})
	case 7, 8:
		s := placer.LongPromptState{Name: name, Incarnation: fmt.Sprint(i, ".0"), SharePercent: amount % 101}
		w.each(func(p *placer.Placer, _ *[]*placer.Choice) { p.ReportLongPrompts(w.now, w.service, s) })
	case 9:
		w.now = w.now.Add(time.Duration(amount) * time.Millisecond)
	default:
		w.proceed(t, amount)
	}
}

// proceed places a call at both placers, or continues the oldest one.
func (w *twins) proceed(t *rapid.T, amount int) {
	c := w.call(t)
	kind := rapid.IntRange(0, 7).Draw(t, "event")
	w.each(func(p *placer.Placer, calls *[]*placer.Choice) {
		if kind < 3 || len(*calls) == 0 {
			choice := &placer.Choice{}
			if p.Choose(w.now, c, choice) == nil {
				*calls = append(*calls, choice)
			}
			return
		}
		first := (*calls)[0]
		switch kind {
		case 3:
			p.RecordRest(w.now, first, time.Duration(amount)*time.Millisecond)
		case 4:
			p.RecordLeaving(w.now, first)
		case 5:
			p.ReportLoad(w.now, first, amount%8)
		case 6:
			p.TurnedAway(w.now, first)
		default:
			p.Finish(w.now, first, placer.Outcome(amount%6))
			*calls = (*calls)[1:]
		}
	})
}

func (w *twins) call(t *rapid.T) *placer.Call {
	n := rapid.IntRange(0, 719).Draw(t, "call")
	c := &placer.Call{Service: w.service, Late: n%2 > 0, AvoidLimited: n/2%4 == 0, MaxWait: time.Duration(n/8%3) * time.Second}
	c.Slack, c.Software = c.MaxWait/2, []string{"", "", "", "version 0", "version 9"}[n/24%5]
	if w.service != plainService {
		c.Model, c.Version, c.Tokens = model, 1, n*10
		c.Adapter = []string{"", "a0", "a1"}[n/120%3]
		c.Parts, c.PartTokens = []uint32{uint32(n % 3)}, []int{n * 5}
	}
	if n/360 > 0 {
		c.Avoid = []string{fleetName(n % 9)}
	}
	return c
}

// TestPropertyExplain guards against an explanation that names another backend server than the
// choice does, and against one after which a choice, its random numbers included, differs from
// that of a placer that explained nothing.
func TestPropertyExplain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTwins(t)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			w.step(t)
		}
		for range 10 {
			c := w.call(t)
			e := w.placers[0].Explain(w.now, c)
			if !reflect.DeepEqual(w.placers[0], w.placers[1]) {
				t.Fatal("explaining has changed the state")
			}
			checkCandidates(t, e)
			w.each(func(p *placer.Placer, _ *[]*placer.Choice) {
				var got placer.Choice
				err := p.Choose(w.now, c, &got)
				if got.Name != e.Choice || !errors.Is(err, e.Err) {
					t.Fatalf("chose %q (%v), explained %q (%v)", got.Name, err, e.Choice, e.Err)
				}
			})
			w.step(t)
		}
	})
}

// checkCandidates checks that the choice is a candidate, and of those that the entry knows one
// with the least cost.
func checkCandidates(t *rapid.T, e placer.Explanation) {
	found := e.Choice == ""
	for _, d := range e.Candidates {
		if d.Name != e.Choice {
			continue
		}
		found = true
		for _, other := range e.Candidates {
			if d.Known && other.Known && other.Terms.Cost() < d.Terms.Cost() {
				t.Fatalf("%s costs %v, and %s, the choice, %v", other.Name, other.Terms.Cost(), d.Name, d.Terms.Cost())
			}
		}
	}
	if !found || e.Choice == "" && len(e.Candidates) > 0 {
		t.Fatalf("chose %q of %+v", e.Choice, e.Candidates)
	}
}

var _ = Describe("An explanation", func() {
	// Guards against a term that is shown but not part of the cost, or the other way round.
	It("has terms whose sum is the cost", func() {
		var terms placer.Terms
		fields := reflect.ValueOf(&terms).Elem()
		for i := range fields.NumField() {
			fields.Field(i).SetInt(1 << i)
		}
		Expect(terms.Cost()).To(Equal(time.Duration(1<<fields.NumField() - 1)))
		Expect(terms.Named()).To(HaveLen(fields.NumField()))
	})

	It("names what excludes a backend server, and the candidates of a tie", func() {
		d := newDeployment(7)
		d.service.Engine = nil
		for i := range d.members {
			d.members[i].Spec.Slots, d.members[i].Spec.FailureDomain, d.members[i].Spec.Software = 1, "a", "1"
		}
		d.members[0].Spec.State, d.members[1].Spec.Software = storer.MemberStateLeaving, "2"
		d.publish()
		d.placer.Suspect(engines, "e03", start.Add(time.Second))
		d.placer.SetScheduled([]regulator.ServerLimit{{Server: "e04", Incarnation: "i-4", Rate: 1}})
		e := d.placer.Explain(start, &placer.Call{Service: engines, Software: "version 1", Avoid: []string{"e02"}, AvoidLimited: true})
		reasons := make(map[string]placer.Exclusion)
		for _, x := range e.Excluded {
			reasons[x.Name] = x.Exclusion
		}
		Expect(reasons).To(Equal(map[string]placer.Exclusion{
			"e00": placer.ExclusionLeaving, "e01": placer.ExclusionSoftware, "e02": placer.ExclusionAvoided,
			"e03": placer.ExclusionSuspect, "e04": placer.ExclusionLimited,
		}))
		Expect(e.Ties).To(Equal([]string{"e05", "e06"}))
		rested := d.choose(start, &placer.Call{Service: engines, Avoid: []string{"e06"}, Software: "version 1", AvoidLimited: true})
		d.placer.RecordRest(start, &rested, time.Second)
		e = d.placer.Explain(start, &placer.Call{Service: engines})
		Expect(e.Excluded).To(ContainElement(And(HaveField("Name", rested.Name), HaveField("Exclusion", placer.ExclusionResting), HaveField("Remaining", time.Second))))
	})
})
