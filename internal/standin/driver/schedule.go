package driver

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Streams of random numbers, one for each purpose, so that a change of one part of
// a workload leaves what the others draw.
const (
	arrivalStream uint64 = iota
	rushStream
	callStream
	popularityStream
	balanceStream
)

// ScheduleSettings say how a workload is carried out.
type ScheduleSettings struct {
	Seed uint64
	// Duration is the length of the run.
	Duration time.Duration
	// TimeScale is the length of a second of the workload, in seconds; 1 by
	// default. Rates rise as times shrink.
	TimeScale float64
	// RateScale multiplies the number of calls, for a smaller deployment; 1 by
	// default.
	RateScale float64
	// MaxCalls bounds the number of calls; 0 means the duration alone does.
	MaxCalls int
	// Run is part of all idempotency keys, so that a second run with the same seed
	// is not answered what the first one was. Driver draws one by default.
	Run string
}

func (s ScheduleSettings) withDefaults() ScheduleSettings {
	if s.TimeScale == 0 {
		s.TimeScale = 1
	}
	if s.RateScale == 0 {
		s.RateScale = 1
	}
	return s
}

// Schedule draws the calls of a run in the order of their intended moments. It is
// not safe for concurrent use.
type Schedule struct {
	workload   Workload
	settings   ScheduleSettings
	weights    []float64 // cumulative, by workspace
	kinds      [callKinds]float64
	popularity []*Popularity // by workspace
	random     *rand.Rand
	usual      *Arrivals
	rush       *Arrivals // nil without a rush
	rusher     int
	rushed     int // calls of the rush so far
	nextUsual  time.Duration
	nextRush   time.Duration
	drawn      int
}

// NewSchedule returns the schedule of a workload. The same workload and settings
// give the same calls. It panics if the workload is not valid.
func NewSchedule(w Workload, s ScheduleSettings) *Schedule {
	if err := w.Validate(); err != nil {
		panic("driver: schedule of a workload that is not valid")
	}
	s = s.withDefaults()
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }
	c := &Schedule{workload: w, settings: s, random: source(callStream)}
	ranks := source(popularityStream)
	sum := 0.0
	for i := range w.Workspaces {
		sum += w.Workspaces[i].Weight
		c.weights = append(c.weights, sum)
		c.popularity = append(c.popularity, NewPopularity(w.Workspaces[i].Adapters, w.ZipfExponent, ranks))
		if w.Workspaces[i].Name == w.Rush.Workspace {
			c.rusher = i
		}
	}
	sum = 0
	for i, weight := range w.Mix.weights() {
		sum += weight
		c.kinds[i] = sum
	}
	rate := s.RateScale / s.TimeScale
	burst := Burst{Factor: w.Burst.Factor, MeanLength: c.scaled(w.Burst.MeanLength), MeanPause: c.scaled(w.Burst.MeanPause)}
	c.usual = NewArrivals(w.Rate*rate, burst, source(arrivalStream))
	c.nextUsual = c.usual.Next()
	c.nextRush = math.MaxInt64
	if w.Rush.Workspace != "" {
		c.rush = NewArrivals(w.Rush.Rate*rate, Burst{}, source(rushStream))
		c.nextRush = c.moment(w.Rush.From) + c.rush.Next()
	}
	return c
}

// scaled returns the length of a time of the workload.
func (s *Schedule) scaled(length time.Duration) time.Duration {
	return time.Duration(float64(length) * s.settings.TimeScale)
}

// moment returns the moment at a share of the run.
func (s *Schedule) moment(share float64) time.Duration {
	return time.Duration(share * float64(s.settings.Duration))
}

// Next draws the next call into c. It returns false at the end of the run.
func (s *Schedule) Next(c *Call) bool {
	if s.settings.MaxCalls > 0 && s.drawn >= s.settings.MaxCalls {
		return false
	}
	if s.nextRush >= s.moment(s.workload.Rush.To) {
		s.nextRush = math.MaxInt64
	}
	at := min(s.nextUsual, s.nextRush)
	if at >= s.settings.Duration {
		return false
	}
	s.drawn++
	*c = Call{Number: s.drawn, Intended: at, Deadline: s.scaled(s.workload.Deadline)}
	c.InRush = s.rush != nil && at >= s.moment(s.workload.Rush.From) && at < s.moment(s.workload.Rush.To)
	if s.nextRush <= s.nextUsual {
		s.nextRush = s.moment(s.workload.Rush.From) + s.rush.Next()
		s.drawRush(c)
		return true
	}
	s.nextUsual = s.usual.Next()
	s.drawUsual(c)
	return true
}

// drawUsual draws a call of the usual load.
func (s *Schedule) drawUsual(c *Call) {
	s.setWorkspace(c, pick(s.weights, s.random))
	c.Kind = CallKind(pick(s.kinds[:], s.random))
	if c.Kind.isKeyed() {
		c.Key = "load-" + s.settings.Run + "-" + strconv.Itoa(c.Number)
		c.Resend = s.random.Float64() < s.workload.Mix.Resent
		c.ResendAfter = time.Duration(s.random.Float64() * float64(s.scaled(2*time.Second)))
	}
	if c.Kind.isService() {
		c.Path = s.workload.Service.ReadPath
		if c.Kind == ServiceWrite {
			c.Path = s.workload.Service.WritePath
		}
		c.Prompt = "call " + strconv.Itoa(c.Number)
		return
	}
	p := s.popularity[c.Workspace]
	shifted := s.workload.ShiftAt > 0 && c.Intended >= s.moment(s.workload.ShiftAt)
	s.drawEngineCall(c, p.Adapter(p.Rank(s.random), shifted))
}

// drawRush draws a call of the rush: the least popular adapters in turn.
func (s *Schedule) drawRush(c *Call) {
	s.setWorkspace(c, s.rusher)
	c.Kind = StreamedChat
	c.Rushing = true
	p := s.popularity[s.rusher]
	rank := len(p.cumulative) - 1 - s.rushed%s.workload.Rush.Adapters
	s.rushed++
	shifted := s.workload.ShiftAt > 0 && c.Intended >= s.moment(s.workload.ShiftAt)
	s.drawEngineCall(c, p.Adapter(rank, shifted))
}

func (s *Schedule) setWorkspace(c *Call, index int) {
	c.Workspace = index
	c.WorkspaceName = s.workload.Workspaces[index].Name
}

// drawEngineCall draws what a call to an engine asks of the numbered adapter.
func (s *Schedule) drawEngineCall(c *Call, adapter int) {
	l := &s.workload.Workspaces[c.Workspace]
	name := l.Name + "/" + l.adapterName(adapter)
	version := s.workload.currentVersion(adapter)
	c.Model = name
	if s.random.Float64() < s.workload.NamedVersion {
		if s.workload.versions(adapter) == 2 && s.random.IntN(2) == 0 {
			version = firstVersion
		}
		c.Model = name + "@" + version
	}
	c.Version = name + "@" + version
	t := &s.workload.Tokens
	c.MaxTokens = t.Answer.draw(s.random)
	length := t.Prompt.draw(s.random)
	template := 0
	if t.Templates > 1 {
		template = s.random.IntN(t.Templates)
	}
	c.Prompt = prompt(l.adapterName(adapter), template, min(t.SharedPrefix, length), length, c.Number)
}

// draw returns a count of the distribution.
func (t *TokenRange) draw(random *rand.Rand) int {
	count := float64(t.Median) * math.Exp(t.Spread*random.NormFloat64())
	return min(max(int(count), t.Min), t.Max)
}

// prompt returns a prompt of length tokens, of which the first shared ones are the
// same for all calls of the template and the others are the call's own.
func prompt(adapter string, template, shared, length, call int) string {
	var text strings.Builder
	text.Grow(length * 8)
	prefix := adapter + "." + strconv.Itoa(template) + "."
	own := "q" + strconv.Itoa(call) + "."
	for i := range length {
		if i > 0 {
			text.WriteByte(' ')
		}
		if i < shared {
			text.WriteString(prefix)
		} else {
			text.WriteString(own)
		}
		text.WriteString(strconv.Itoa(i))
	}
	return text.String()
}

// pick draws an index by its cumulative weights.
func pick(cumulative []float64, random *rand.Rand) int {
	u := random.Float64() * cumulative[len(cumulative)-1]
	return min(sort.SearchFloat64s(cumulative, u), len(cumulative)-1)
}
