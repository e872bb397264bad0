package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lostShare is the share of the workers that lose answers, and lostRate the share of the
	// answers that they lose.
	lostShare = 0.6
	lostRate  = 0.4
	// lostTime is how long they do, each lostInterval.
	lostTime     = 4 * time.Second
	lostInterval = 10 * time.Second
	// overlapLimit is the time after which the worker before may not work on a request any more
	// that goes on at another.
	overlapLimit = 400 * time.Millisecond

	case2Pause = 60 * time.Millisecond
	case2Time  = 30 * time.Second
)

// doubleRun checks TWICE: a request does not go on at another worker while the worker before still
// works on it 400 ms later.
func doubleRun(l *lab, trouble bool) (bool, error) {
	fronts, sides := []int{11, 12}, []int{21, 22, 23, 24, 25, 26, 27, 28, 29, 30}
	var losing atomic.Bool
	var engines []*engineWorker
	backups := &sync.Map{}
	for i, host := range sides {
		loses := float64(i) < lostShare*float64(len(sides))
		w, err := l.newEngineWorker(host, fmt.Sprintf("i-engine%d", i), "consulente", backups, func(events int) (int, bool) {
			return events / 4, loses && losing.Load() && rand.Float64() < lostRate
		})
		if err != nil {
			return false, err
		}
		engines = append(engines, w)
	}
	if err := l.startAll(fronts, sides); err != nil {
		return false, err
	}
	err := l.configure(1, []any{map[string]any{
		"name": "r-explain", "hostname": "ficu95.example", "pathPrefix": "/pufi791/", "kind": "streaming", "timeoutMs": 15000,
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
	time.Sleep(4 * time.Second)
	began := time.Now()
	var complete, cut, refused atomic.Int64
	var group sync.WaitGroup
	n := 0
	for ; time.Since(began) < case2Time; n++ {
		losing.Store(trouble && time.Since(began)%lostInterval >= lostInterval-lostTime)
		id := fmt.Sprintf("s-%04d", n)
		front := l.address(fronts[n%len(fronts)], offsetFront)
		group.Go(func() {
			switch err := l.stream(front, id); {
			case err == nil:
				complete.Add(1)
			case errors.Is(err, errStatus):
				refused.Add(1)
			default:
				cut.Add(1)
			}
		})
		time.Sleep(case2Pause)
	}
	group.Wait()
	time.Sleep(4 * time.Second)
	lost, twice := judgeRuns(l, engines)
	summary := fmt.Sprintf("%d streams: %d complete, %d cut, %d refused or failed; %d answers lost; %d went on at another worker while the one before worked on",
		n, complete.Load(), cut.Load(), refused.Load(), lost, twice)
	l.note("%s", summary)
	fmt.Println(summary)
	if complete.Load() < int64(n)/2 || trouble && lost == 0 {
		return false, fmt.Errorf("the case did not come about: %s", summary)
	}
	return twice > 0, nil
}

var errStatus = errors.New("status")

// stream sends one request and reads its stream. It returns nil if the stream is complete.
func (l *lab) stream(front, id string) error {
	r, _ := http.NewRequest(http.MethodPost, "http://"+front+"/pufi791/2f", strings.NewReader(strings.Repeat("x", 1700)))
	r.Host = "ficu95.example"
	r.Header.Set(headerAttempt, id)
	r.Header.Set(headerDeadline, "15000")
	r.Header.Set(headerModel, modelName)
	r.Header.Set(headerTokens, "826,292")
	r.Header.Set("X-Marigoldpoint-Prompt-Prefix", fmt.Sprintf("5c1e07a2:119,91bd3f06:79,%x:628", 0x10000+rand.IntN(1<<30)))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 16 * time.Second}
	defer client.CloseIdleConnections()
	a, err := client.Do(r)
	if err != nil {
		l.note("client: %s: no answer: %v", id, err)
		return err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	l.note("client: %s: status %d, signature %q, %d events, error %v", id, a.StatusCode, a.Header.Get(headerSignature), strings.Count(string(body), "data:"), err)
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("%w %d", errStatus, a.StatusCode)
	}
	return err
}

// judgeRuns returns the number of lost answers, and of the requests that went on at another worker
// while the worker before still worked on them overlapLimit later.
func judgeRuns(l *lab, engines []*engineWorker) (lost, twice int) {
	byRequest := make(map[string][]*engineRun)
	for _, w := range engines {
		w.mu.Lock()
		for _, r := range w.runs {
			byRequest[r.request] = append(byRequest[r.request], r)
			if r.lost {
				lost++
			}
		}
		w.mu.Unlock()
	}
	for id, runs := range byRequest {
		for _, before := range runs {
			for _, after := range runs {
				if after.worker != before.worker && after.began.After(before.began) && before.ended.Sub(after.began) > overlapLimit {
					twice++
					l.note("BROKEN: %s goes on at %s from event %d; %s works on it for another %d ms, to event %d",
						id, after.worker, after.first, before.worker, before.ended.Sub(after.began).Milliseconds(), before.last)
				}
			}
		}
	}
	return lost, twice
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
