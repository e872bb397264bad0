package soaker

import (
	"io"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
)

// Settings are the settings of a soak.
type Settings struct {
	// Program is the path of the program whose command serve runs the processes. Required.
	Program  string
	Workload driver.Workload
	// Entries, Engines and Services are the numbers of processes: hosts with the roles Entry and
	// Control, and companions of engines and of plain services.
	Entries  int
	Engines  int
	Services int
	// Duration is the time in which processes are disturbed.
	Duration time.Duration
	// Links adds link faults.
	Links bool
	// TimeScale is the duration of one second of the workload, in seconds.
	TimeScale float64
	// RateScale multiplies the call rate.
	RateScale float64
	Seed      uint64
	// Folder is the folder for settings, data and logs; it must exist.
	Folder string
	// Out receives the schedule and the findings as text.
	Out io.Writer
}
