package configurer

import (
	"cmp"
	"time"
)

// Defaults of CompanionSettings.
const (
	DefaultOrderLife            = Duration(30 * time.Second)
	DefaultCompanionHeartbeat   = Duration(500 * time.Millisecond)
	DefaultAnswerBuffer         = 64 * MiB
	DefaultAnswerRetention      = Duration(2 * time.Minute)
	DefaultQueueLimit           = 256
	DefaultCompanionQueueTokens = 1_000_000
	DefaultStaticLoadRate       = 0.05
	DefaultBackoffInitial       = Duration(time.Second)
	DefaultBackoffMax           = Duration(30 * time.Second)
	DefaultDrainTimeout         = Duration(3 * time.Minute)
)

// CompanionSettings are the settings of a companion, which stands beside one
// backend server.
type CompanionSettings struct {
	// Listen is the IP and port on which entries reach this companion. The
	// companion announces it, so that the IP is never the unspecified one.
	// Required.
	Listen string

	// Kind is the kind of the backend server; BackendKindEngine by default.
	Kind BackendKind

	// EngineAddress is the IP and port of the engine, where BackendKindEngine is
	// set. On the loopback unless ChecksFencing is set: an engine that takes orders
	// from anybody must not be reachable by anybody. With neither this nor
	// ServiceAddress the companion waits until its backend server announces itself.
	EngineAddress string

	// ServiceAddress is the IP and port of the plain service, where
	// BackendKindService is set.
	ServiceAddress string

	// ServiceName is the name under which operators declared the plain service.
	// Required with ServiceAddress; an announcement must not contradict it.
	ServiceName string

	// BaseModel is the base model that the engine runs. Required with
	// EngineAddress; an announcement must not contradict it.
	BaseModel string

	// Slots is the number of adapters that the engine holds at once. Zero, the
	// default, takes the number that the engine announces.
	Slots int

	// MaxBatch is the number of requests that the backend server runs at once.
	// Zero, the default, takes the number that the backend server announces.
	MaxBatch int

	// ChecksFencing tells that the engine refuses an order with an old fencing
	// number.
	ChecksFencing bool

	// OrderLife is the longest time for which an order sent to the engine can
	// still take effect. A companion that starts beside an engine without
	// fencing waits it out; DefaultOrderLife by default.
	OrderLife Duration

	// HeartbeatInterval is the time between two renewals of the membership;
	// DefaultCompanionHeartbeat by default.
	HeartbeatInterval Duration

	// AnswerBuffer bounds the memory for answers that no entry has
	// acknowledged; DefaultAnswerBuffer by default.
	AnswerBuffer Size

	// AnswerRetention is the time for which an answer is kept for an entry
	// that comes back; DefaultAnswerRetention by default.
	AnswerRetention Duration

	// QueueLimit is the number of requests that wait at once;
	// DefaultQueueLimit by default.
	QueueLimit int

	// QueueTokens is the number of tokens, by estimate, of the requests that
	// wait at once; DefaultCompanionQueueTokens by default.
	QueueTokens int64

	// StaticLoadRate is the number of loads per second that this companion
	// allows itself where Control can't be reached; DefaultStaticLoadRate by
	// default. The sum over all companions stays under Control's StoreRate.
	StaticLoadRate float64

	// LoadBackoff is the wait after a failed load.
	LoadBackoff BackoffSettings

	// Prefetch has adapters that are heating up loaded while the weight store
	// is idle.
	Prefetch bool

	// DrainTimeout is the longest time that a leaving backend server waits for
	// its requests; DefaultDrainTimeout by default.
	DrainTimeout Duration
}

// BackoffSettings describe an exponential wait with jitter.
type BackoffSettings struct {
	// Initial is the wait after the first failure; DefaultBackoffInitial by
	// default.
	Initial Duration

	// Max is the longest wait, no less than Initial; DefaultBackoffMax by
	// default.
	Max Duration
}

func (c CompanionSettings) withDefaults() CompanionSettings {
	c.OrderLife = cmp.Or(c.OrderLife, DefaultOrderLife)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultCompanionHeartbeat)
	c.AnswerBuffer = cmp.Or(c.AnswerBuffer, DefaultAnswerBuffer)
	c.AnswerRetention = cmp.Or(c.AnswerRetention, DefaultAnswerRetention)
	c.QueueLimit = cmp.Or(c.QueueLimit, DefaultQueueLimit)
	c.QueueTokens = cmp.Or(c.QueueTokens, DefaultCompanionQueueTokens)
	c.StaticLoadRate = cmp.Or(c.StaticLoadRate, DefaultStaticLoadRate)
	c.LoadBackoff.Initial = cmp.Or(c.LoadBackoff.Initial, DefaultBackoffInitial)
	c.LoadBackoff.Max = cmp.Or(c.LoadBackoff.Max, max(DefaultBackoffMax, c.LoadBackoff.Initial))
	c.DrainTimeout = cmp.Or(c.DrainTimeout, DefaultDrainTimeout)
	return c
}

// BackendAddress returns the address of the backend server of c.Kind; empty where
// the companion waits for an announcement.
func (c CompanionSettings) BackendAddress() string {
	if c.Kind == BackendKindService {
		return c.ServiceAddress
	}
	return c.EngineAddress
}

// companion checks the section Companion.
func (c *checker) companion(m CompanionSettings, stop StopSettings) {
	if a, ok := c.address("Companion.Listen", m.Listen); ok && a.Addr().IsUnspecified() {
		c.fault("Companion.Listen", "%q can't be announced to entries; name the IP that they reach", m.Listen)
	}
	checkEnum(c, "Companion.Kind", m.Kind, BackendKindService)
	switch m.Kind {
	case BackendKindEngine:
		c.engine(m)
	case BackendKindService:
		c.service(m)
	}
	checkRange(c, "Companion.MaxBatch", m.MaxBatch, 0, maxCount)
	checkRange(c, "Companion.HeartbeatInterval", m.HeartbeatInterval, minInterval, maxInterval)
	checkRange(c, "Companion.AnswerBuffer", m.AnswerBuffer, 64*KiB, TiB)
	checkRange(c, "Companion.AnswerRetention", m.AnswerRetention, minInterval, maxTimeout)
	checkRange(c, "Companion.QueueLimit", m.QueueLimit, 1, maxCount)
	checkRange(c, "Companion.QueueTokens", m.QueueTokens, 1, maxTokens)
	checkRange(c, "Companion.DrainTimeout", m.DrainTimeout, minInterval, maxTimeout)
	if stop.GracePeriod < m.DrainTimeout {
		c.fault("Stop.GracePeriod", "%v is shorter than Companion.DrainTimeout, %v, so that a planned stop cuts requests off", stop.GracePeriod, m.DrainTimeout)
	}
}

// engine checks what only a companion beside an engine has.
func (c *checker) engine(m CompanionSettings) {
	if !m.awaits() {
		a, ok := c.peer("Companion.EngineAddress", m.EngineAddress)
		if ok && !m.ChecksFencing && !a.Addr().IsLoopback() {
			c.fault("Companion.EngineAddress", "%q is not on the loopback, which an engine that doesn't check fencing numbers needs", m.EngineAddress)
		}
		if m.BaseModel == "" {
			c.fault("Companion.BaseModel", "required")
		}
	}
	checkRange(c, "Companion.Slots", m.Slots, 0, maxCount)
	checkRange(c, "Companion.OrderLife", m.OrderLife, minInterval, Duration(time.Hour))
	checkRange(c, "Companion.StaticLoadRate", m.StaticLoadRate, 0.00001, 10000)
	checkRange(c, "Companion.LoadBackoff.Initial", m.LoadBackoff.Initial, minInterval, Duration(time.Hour))
	checkRange(c, "Companion.LoadBackoff.Max", m.LoadBackoff.Max, m.LoadBackoff.Initial, maxTimeout)
}

// service checks what only a companion beside a plain service has.
func (c *checker) service(m CompanionSettings) {
	if !m.awaits() {
		c.peer("Companion.ServiceAddress", m.ServiceAddress)
	}
	if !m.awaits() || m.ServiceName != "" {
		c.name("Companion.ServiceName", m.ServiceName)
	}
}

// awaits tells whether the settings leave the address to an announcement.
func (c CompanionSettings) awaits() bool {
	return c.EngineAddress == "" && c.ServiceAddress == ""
}
