package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	case7Time     = 80 * time.Second
	case7Pause    = 120 * time.Millisecond
	case7Adapters = 40
	// killInterval is the time between two kills of a control process, and killDown how long it is
	// down.
	killInterval = 9 * time.Second
	killDown     = time.Second
	// silentTime is the time without any answer after which an adapter counts as not recovered.
	silentTime = 20 * time.Second
)

// adapterAsked is what became of the calls for one adapter.
type adapterAsked struct {
	lastServed time.Time
	unserved   int
}

// adapterOutage checks that every adapter is served again after kills of control processes: none
// goes without an answer for 20 s while it is asked for.
func adapterOutage(l *lab, trouble bool) (bool, error) {
	fronts, sides := []int{11, 12}, []int{21, 22, 23}
	backups := &sync.Map{}
	for i, host := range sides {
		if _, err := l.newEngineWorker(host, fmt.Sprintf("i-engine%d", i), "consulente", backups, func(int) (int, bool) { return 0, false }); err != nil {
			return false, err
		}
	}
	if err := l.startAll(fronts, sides); err != nil {
		return false, err
	}
	err := l.configure(1, []any{map[string]any{
		"name": "r-explain", "hostname": "ficu95.example", "pathPrefix": "/pufi791/", "kind": "streaming", "timeoutMs": 6000,
		"targetLatencyMs": 1000, "priority": 1, "service": "consulente", "maxAttempts": 1, "sticky": true, "resumable": false, "targetGapMs": 400,
	}}, []any{engineService()})
	if err != nil {
		return false, err
	}
	for _, host := range fronts {
		if err := l.awaitReady(host); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	l.restarted = true
	if trouble {
		go l.killControls(began)
	}
	var mu sync.Mutex
	asked := make(map[string]*adapterAsked)
	longest := time.Duration(0)
	var group sync.WaitGroup
	n, served := 0, 0
	for ; time.Since(began) < case7Time; n++ {
		// A few adapters are asked for often, most seldom.
		adapter := fmt.Sprintf("a%d", 1+int(float64(case7Adapters)*rand.Float64()*rand.Float64()))
		id := fmt.Sprintf("q-%04d", n)
		group.Go(func() {
			status := l.ask(l.address(fronts[rand.IntN(len(fronts))], offsetFront), id, adapter)
			mu.Lock()
			defer mu.Unlock()
			a := asked[adapter]
			if a == nil {
				a = &adapterAsked{lastServed: time.Now()}
				asked[adapter] = a
			}
			if status == http.StatusOK {
				served++
				a.lastServed, a.unserved = time.Now(), 0
				return
			}
			a.unserved++
			if d := time.Since(a.lastServed); a.unserved >= 3 && d > longest {
				longest = d
				l.note("%s: %d calls without an answer for %s", adapter, a.unserved, d.Round(time.Millisecond))
			}
		})
		time.Sleep(case7Pause)
	}
	group.Wait()
	summary := fmt.Sprintf("%d calls, %d served; longest time in which an adapter was asked for three times or more and not served: %s", n, served, longest.Round(time.Millisecond))
	l.note("%s", summary)
	fmt.Println(summary)
	return longest > silentTime, nil
}

// killControls kills one control process after the other and starts it again.
func (l *lab) killControls(began time.Time) {
	for n := 0; time.Since(began) < case7Time-killInterval; n++ {
		time.Sleep(killInterval - killDown)
		host := 1 + n%3
		l.mu.Lock()
		var p *process
		for _, q := range l.processes {
			if q.name == fmt.Sprintf("control-%d", host) {
				p = q
			}
		}
		l.mu.Unlock()
		_ = p.command.Process.Kill()
		<-p.ended
		time.Sleep(killDown)
		if _, err := l.start("control", host); err != nil {
			l.note("restart: %v", err)
			return
		}
	}
}

// ask sends a call for an adapter and returns its status; 0 means no whole answer.
func (l *lab) ask(front, id, adapter string) int {
	r, _ := http.NewRequest(http.MethodPost, "http://"+front+"/pufi791/2f", strings.NewReader("x"))
	r.Host = "ficu95.example"
	r.Header.Set(headerAttempt, id)
	r.Header.Set(headerDeadline, "6000")
	r.Header.Set(headerModel, modelName+"/"+adapter)
	r.Header.Set(headerTokens, "800,16")
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 7 * time.Second}
	defer client.CloseIdleConnections()
	a, err := client.Do(r)
	if err != nil {
		l.note("client: %s: %s: %v", id, adapter, err)
		return 0
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	l.note("client: %s: %s: status %d, %d bytes, error %v", id, adapter, a.StatusCode, len(body), err)
	if err != nil {
		return 0
	}
	return a.StatusCode
}

// engineService returns a service of model workers as configurations describe it.
func engineService() map[string]any {
	return map[string]any{
		"name": "consulente", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kvCapacity": 232000, "kvTokenBytes": 327680, "linkMbps": 1100000.0, "moves": true, "backups": true, "stride": 4,
			"maxCount": 12, "hostMb": 120000.0, "diskMb": 370000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
			"models":    []any{map[string]any{"name": modelName, "weightsMb": 34300.0, "loadS": 1.0, "adapters": 3000, "adapterMb": 40.0, "warmS": 0.28, "diskS": 0.4}},
			"weightsMb": 35300.0, "adapterSlots": 8, "loadsPerS": 2.8,
		},
	}
}
