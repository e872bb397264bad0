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

// CompanionSettings are the settings of a companion, which manages one backend server.
type CompanionSettings struct {
	// Listen is the IP and port on which entries reach this companion. The
	// companion announces it, so that the IP must not be the unspecified address.
	// Required.
	Listen string

	// Kind is the kind of the backend server; BackendKindEngine by default.
	Kind BackendKind

	// EngineAddress is the IP and port of the engine if Kind is BackendKindEngine.
	// It must be a loopback address unless ChecksFencing is set, since an engine that
	// accepts orders from any sender must not be reachable over the network. Without
	// EngineAddress and ServiceAddress, the companion waits until its backend server
	// announces itself.
	EngineAddress string

	// ServiceAddress is the IP and port of the plain service if Kind is
	// BackendKindService.
	ServiceAddress string

	// ServiceName is the name under which operators declared the plain service.
	// Required with ServiceAddress; an announcement must not contradict it.
	ServiceName string

	// BaseModel is the base model of the engine. Required with EngineAddress; an
	// announcement must not contradict it.
	BaseModel string

	// Slots is the maximum number of adapters loaded in the engine. If it is 0, the
	// default, the number that the engine announces is used.
	Slots int

	// MaxBatch is the maximum number of requests that the backend server runs
	// concurrently. If it is 0, the default, the number that the backend server
	// announces is used.
	MaxBatch int

	// ChecksFencing states that the engine refuses an order with an outdated
	// fencing number.
	ChecksFencing bool

	// OrderLife is the maximum time after which an order sent to the engine can
	// still take effect; DefaultOrderLife by default. A companion waits for this time
	// when it starts with an engine without fencing.
	OrderLife Duration

	// HeartbeatInterval is the time between two renewals of the membership;
	// DefaultCompanionHeartbeat by default.
	HeartbeatInterval Duration

	// AnswerBuffer is the maximum size of the buffer for answers that no entry has
	// acknowledged; DefaultAnswerBuffer by default.
	AnswerBuffer Size

	// AnswerRetention is the time for which an answer is retained for an entry that
	// reconnects; DefaultAnswerRetention by default.
	AnswerRetention Duration

	// QueueLimit is the maximum number of queued requests; DefaultQueueLimit by
	// default.
	QueueLimit int

	// QueueTokens is the maximum estimated number of tokens of the queued requests;
	// DefaultCompanionQueueTokens by default.
	QueueTokens int64

	// StaticLoadRate is the number of loads per second that this companion may start
	// while it can't reach a control host; DefaultStaticLoadRate by default. The sum
	// over all companions should be less than ControlSettings.StoreRate.
	StaticLoadRate float64

	// LoadBackoff is the backoff after failed loads.
	LoadBackoff BackoffSettings

	// Prefetch enables the loading of adapters with rising demand while the weight
	// store is idle.
	Prefetch bool

	// DrainTimeout is the maximum time for which a leaving backend server waits for
	// its requests; DefaultDrainTimeout by default.
	DrainTimeout Duration
}

// BackoffSettings describe an exponential backoff with jitter.
type BackoffSettings struct {
	// Initial is the wait after the first failure; DefaultBackoffInitial by
	// default.
	Initial Duration

	// Max is the longest wait, at least Initial; by default DefaultBackoffMax, or
	// Initial if that is longer.
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

// BackendAddress returns the address of the backend server according to c.Kind. It is
// empty if the companion waits for an announcement.
func (c CompanionSettings) BackendAddress() string {
	if c.Kind == BackendKindService {
		return c.ServiceAddress
	}
	return c.EngineAddress
}

// companion checks the section Companion.
func (c *checker) companion(m CompanionSettings, stop StopSettings) {
	if a, ok := c.address("Companion.Listen", m.Listen); ok && a.Addr().IsUnspecified() {
		c.addProblem("Companion.Listen", "%q can't be announced to entries; name the IP that they reach", m.Listen)
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
		c.addProblem("Stop.GracePeriod", "%v is shorter than Companion.DrainTimeout, %v, so that a planned stop cuts requests off", stop.GracePeriod, m.DrainTimeout)
	}
}

// engine checks the settings that only apply to a companion of an engine.
func (c *checker) engine(m CompanionSettings) {
	if !m.awaitsAnnouncement() {
		a, ok := c.connectAddress("Companion.EngineAddress", m.EngineAddress)
		if ok && !m.ChecksFencing && !a.Addr().IsLoopback() {
			c.addProblem("Companion.EngineAddress", "%q is not on the loopback, which an engine that doesn't check fencing numbers needs", m.EngineAddress)
		}
		if m.BaseModel == "" {
			c.addProblem("Companion.BaseModel", "required")
		}
	}
	checkRange(c, "Companion.Slots", m.Slots, 0, maxCount)
	checkRange(c, "Companion.OrderLife", m.OrderLife, minInterval, Duration(time.Hour))
	checkRange(c, "Companion.StaticLoadRate", m.StaticLoadRate, 0.00001, 10000)
	checkRange(c, "Companion.LoadBackoff.Initial", m.LoadBackoff.Initial, minInterval, Duration(time.Hour))
	checkRange(c, "Companion.LoadBackoff.Max", m.LoadBackoff.Max, m.LoadBackoff.Initial, maxTimeout)
}

// service checks the settings that only apply to a companion of a plain service.
func (c *checker) service(m CompanionSettings) {
	if !m.awaitsAnnouncement() {
		c.connectAddress("Companion.ServiceAddress", m.ServiceAddress)
	}
	if !m.awaitsAnnouncement() || m.ServiceName != "" {
		c.name("Companion.ServiceName", m.ServiceName)
	}
}

// awaitsAnnouncement reports whether the address of the backend server is not set and
// therefore comes from an announcement.
func (c CompanionSettings) awaitsAnnouncement() bool {
	return c.EngineAddress == "" && c.ServiceAddress == ""
}
