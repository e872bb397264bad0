package driver

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Streams of random numbers, one for each purpose, so that a change of one part of a
// workload does not change the random numbers of the others.
const (
	arrivalStream uint64 = iota
	rushStream
	callStream
	popularityStream
	balanceStream
)

// ScheduleSettings are the settings of a Schedule.
type ScheduleSettings struct {
	Seed uint64
	// Duration is the length of the run.
	Duration time.Duration
	// TimeScale is the factor by which the times of the workload are scaled; 1 by
	// default. Rates are divided by it.
	TimeScale float64
	// RateScale is the factor by which the rates are multiplied, such as for a smaller
	// deployment; 1 by default.
	RateScale float64
	// MaxCalls limits the number of calls; 0 means no limit.
	MaxCalls int
	// Run is part of all Idempotency-Keys, so that a second run with the same seed does
	// not get the retained answers of the first. By default Driver sets a random one.
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

// Schedule generates the calls of a run in the order of their intended times. It is not
// safe for concurrent use.
type Schedule struct {
	workload      Workload
	settings      ScheduleSettings
	weights       []float64 // cumulative, by workspace
	kinds         [callKinds]float64
	popularity    []*Popularity // by workspace
	random        *rand.Rand
	baseline      *Arrivals
	rush          *Arrivals // nil without a rush
	rushWorkspace int
	rushCalls     int // calls of the rush generated so far
	nextBaseline  time.Duration
	nextRush      time.Duration
	calls         int
}

// NewSchedule returns the schedule of a workload. The same workload and settings
// give the same calls. It panics if the workload is not valid.
func NewSchedule(w Workload, s ScheduleSettings) *Schedule {
	if err := w.Validate(); err != nil {
		panic("driver: NewSchedule needs a valid workload")
	}
	s = s.withDefaults()
	newRandom := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }
	c := &Schedule{workload: w, settings: s, random: newRandom(callStream)}
	ranks := newRandom(popularityStream)
	sum := 0.0
	for i := range w.Workspaces {
		sum += w.Workspaces[i].Weight
		c.weights = append(c.weights, sum)
		c.popularity = append(c.popularity, NewPopularity(w.Workspaces[i].Adapters, w.ZipfExponent, ranks))
		if w.Workspaces[i].Name == w.Rush.Workspace {
			c.rushWorkspace = i
		}
	}
	sum = 0
	for i, weight := range w.Mix.weights() {
		sum += weight
		c.kinds[i] = sum
	}
	rate := s.RateScale / s.TimeScale
	burst := Burst{Factor: w.Burst.Factor, MeanLength: c.scale(w.Burst.MeanLength), MeanPause: c.scale(w.Burst.MeanPause)}
	c.baseline = NewArrivals(w.Rate*rate, burst, newRandom(arrivalStream))
	c.nextBaseline = c.baseline.Next()
	c.nextRush = math.MaxInt64
	if w.Rush.Workspace != "" {
		c.rush = NewArrivals(w.Rush.Rate*rate, Burst{}, newRandom(rushStream))
		c.nextRush = c.timeAt(w.Rush.From) + c.rush.Next()
	}
	return c
}

// scale applies TimeScale to a duration of the workload.
func (s *Schedule) scale(length time.Duration) time.Duration {
	return time.Duration(float64(length) * s.settings.TimeScale)
}

// timeAt returns the time at a fraction of the run.
func (s *Schedule) timeAt(share float64) time.Duration {
	return time.Duration(share * float64(s.settings.Duration))
}

// Next stores the next call in c. It returns false at the end of the run.
func (s *Schedule) Next(c *Call) bool {
	if s.settings.MaxCalls > 0 && s.calls >= s.settings.MaxCalls {
		return false
	}
	if s.nextRush >= s.timeAt(s.workload.Rush.To) {
		s.nextRush = math.MaxInt64
	}
	at := min(s.nextBaseline, s.nextRush)
	if at >= s.settings.Duration {
		return false
	}
	s.calls++
	*c = Call{Number: s.calls, Intended: at, Deadline: s.scale(s.workload.Deadline)}
	c.InRush = s.rush != nil && at >= s.timeAt(s.workload.Rush.From) && at < s.timeAt(s.workload.Rush.To)
	if s.nextRush <= s.nextBaseline {
		s.nextRush = s.timeAt(s.workload.Rush.From) + s.rush.Next()
		s.drawRush(c)
		return true
	}
	s.nextBaseline = s.baseline.Next()
	s.drawBaseline(c)
	return true
}

// drawBaseline generates a call outside the rush.
func (s *Schedule) drawBaseline(c *Call) {
	s.setWorkspace(c, pick(s.weights, s.random))
	c.Kind = CallKind(pick(s.kinds[:], s.random))
	if c.Kind.isKeyed() {
		c.Key = "load-" + s.settings.Run + "-" + strconv.Itoa(c.Number)
		c.Resend = s.random.Float64() < s.workload.Mix.Resent
		c.ResendAfter = time.Duration(s.random.Float64() * float64(s.scale(2*time.Second)))
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
	shifted := s.workload.ShiftAt > 0 && c.Intended >= s.timeAt(s.workload.ShiftAt)
	s.drawEngineCall(c, p.Adapter(p.Rank(s.random), shifted))
}

// drawRush generates a call of the rush, which takes the least popular adapters in turn.
func (s *Schedule) drawRush(c *Call) {
	s.setWorkspace(c, s.rushWorkspace)
	c.Kind = StreamedChat
	c.Rushing = true
	p := s.popularity[s.rushWorkspace]
	rank := len(p.cumulative) - 1 - s.rushCalls%s.workload.Rush.Adapters
	s.rushCalls++
	shifted := s.workload.ShiftAt > 0 && c.Intended >= s.timeAt(s.workload.ShiftAt)
	s.drawEngineCall(c, p.Adapter(rank, shifted))
}

func (s *Schedule) setWorkspace(c *Call, index int) {
	c.Workspace = index
	c.WorkspaceName = s.workload.Workspaces[index].Name
}

// drawEngineCall generates the model, prompt and token limit of a call to an engine.
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

// draw returns a random token count.
func (t *TokenRange) draw(random *rand.Rand) int {
	count := float64(t.Median) * math.Exp(t.Spread*random.NormFloat64())
	return min(max(int(count), t.Min), t.Max)
}

// prompt returns a prompt of length tokens, of which the first shared ones are the same for
// all calls of the template and the others are unique to the call.
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

// pick returns a random index with the given cumulative weights.
func pick(cumulative []float64, random *rand.Rand) int {
	u := random.Float64() * cumulative[len(cumulative)-1]
	return min(sort.SearchFloat64s(cumulative, u), len(cumulative)-1)
}
