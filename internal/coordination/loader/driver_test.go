package loader

import "time"

// driver carries out a table's actions. Loads take 250 ms each, one at a time; requests
// take runTime each, up to batch at once per version.
type driver struct {
	table   *Table
	now     time.Time
	runTime time.Duration
	// batch is the maximum number of requests that run at once for one version; 0 means
	// 1.
	batch int

	waiting  []Want
	permits  []string
	loading  *LoadAction
	loadEnd  time.Time
	running  map[string]time.Time
	pinnedAt map[string]time.Time
}

func (d *driver) want(w Want) {
	if d.pinnedAt == nil {
		d.pinnedAt = map[string]time.Time{}
		d.running = map[string]time.Time{}
	}
	d.waiting = append(d.waiting, w)
	d.apply(d.table.Want(d.now, w))
}

func (d *driver) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case PermitAction:
			d.permits = append(d.permits, a.Version)
		case LoadAction:
			d.loading = &a
			d.loadEnd = d.now.Add(250 * time.Millisecond)
		case UnloadAction:
			d.apply(d.table.Unloaded(d.now, a.Version, a.Fence, OutcomeDone))
		}
	}
}

// run advances the time in steps of 100 ms.
func (d *driver) run(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(100 * time.Millisecond) {
		for request, ends := range d.running {
			if !d.now.Before(ends) {
				delete(d.running, request)
				d.apply(d.table.Release(d.now, request))
			}
		}
		if d.loading != nil && !d.now.Before(d.loadEnd) {
			a := *d.loading
			d.loading = nil
			d.apply(d.table.Loaded(d.now, a.Version, a.Fence, OutcomeDone, ""))
		}
		if d.loading == nil && len(d.permits) > 0 {
			version := d.permits[0]
			d.permits = d.permits[1:]
			d.apply(d.table.Permitted(d.now, version))
		}
		d.start()
		d.apply(d.table.Tick(d.now))
	}
}

func (d *driver) start() {
	kept := d.waiting[:0]
	for _, w := range d.waiting {
		if d.table.Pins(w.Version) < max(1, d.batch) && d.table.Pin(w.Request) {
			d.running[w.Request] = d.now.Add(d.runTime)
			d.pinnedAt[w.Request] = d.now
			continue
		}
		kept = append(kept, w)
	}
	d.waiting = kept
}
