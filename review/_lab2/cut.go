package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// wholeStream is the body of a whole stream.
func wholeStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}

// streamRoute is a route of streams that may not be resumed.
func streamRoute() map[string]any {
	return map[string]any{
		"name": "r-review", "hostname": "desk.example", "pathPrefix": "/review/", "kind": "streaming", "timeoutMs": 15000,
		"targetLatencyMs": 1000, "priority": 0, "service": "llm", "maxAttempts": 1, "sticky": true, "resumable": false, "targetGapMs": 400,
	}
}

func engineService() map[string]any {
	return map[string]any{
		"name": "llm", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kvCapacity": 232000, "kvTokenBytes": 327680, "linkMbps": 1100000.0, "moves": true, "backups": true, "stride": 4,
			"maxCount": 12, "hostMb": 120000.0, "diskMb": 370000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
			"models":    []map[string]any{{"name": "m0", "weightsMb": 34300.0, "loadS": 1.0, "adapters": 3000, "adapterMb": 40.0, "warmS": 0.28, "diskS": 0.4}},
			"weightsMb": 35300.0, "adapterSlots": 8, "loadsPerS": 2.8,
		},
	}
}

// cutStreams lets model workers be taken away at short notice. Some of their streams have no
// length. The rule is broken if a client gets a stream that ends as complete before its last
// piece.
func cutStreams(trouble bool) int {
	d, err := newDeployment()
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer d.stop(os.Getenv("KEEP") != "")
	fail := func(err error) int {
		fmt.Println(err)
		return 2
	}
	if err := d.start(1); err != nil {
		return fail(err)
	}
	const workers, spoilt, callersEach, events = 7, 3, 30, 73
	running := make([]*workerProcess, workers)
	life := 0
	begin := func(n int) error {
		life++
		running[n], err = d.startWorker(fmt.Sprintf("i-%d-%d", n+1, life), n+1, "-engine", "-service", "llm", "-unframed-each", "20")
		return err
	}
	for n := range workers {
		if err := begin(n); err != nil {
			return fail(err)
		}
		if err := d.companion(n + 1); err != nil {
			return fail(err)
		}
	}
	if err := d.configure(1, []map[string]any{streamRoute()}, []map[string]any{engineService()}); err != nil {
		return fail(err)
	}
	time.Sleep(3 * time.Second)
	if err := d.awaitReady(1); err != nil {
		return fail(err)
	}
	var sent, answered, broken atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range workers * callersEach {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			c := d.newCaller(d.fronts[0])
			for {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				o := c.call("POST", "/review/"+newID(), 15*time.Second, []byte("prompt"), headers{
					"X-Marigoldpoint-Model": "m0", "X-Marigoldpoint-Token-Count": "800,292", "X-Marigoldpoint-Prompt-Prefix": fmt.Sprintf("1a:200,%s:600", newID()[:8]),
				})
				if o.err != nil || o.status/100 != 2 {
					time.Sleep(300 * time.Millisecond)
					continue
				}
				answered.Add(1)
				if string(o.body) != wholeStream(o.id, events) {
					broken.Add(1)
					d.note("BROKEN: ORDER: the stream of %s ended as complete after %d of %d pieces", o.id, strings.Count(string(o.body), "data:"), events)
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	for round := 0; round < 6; round++ {
		n := round % workers
		for i := range spoilt {
			// For 5 s, each twentieth answer of these has no length.
			running[(n+i)%workers].signal(syscall.SIGUSR2)
		}
		time.Sleep(3200 * time.Millisecond)
		if trouble {
			d.note("notice to %s: it is taken away in 2 s", running[n].name)
			running[n].signal(syscall.SIGUSR1)
			time.Sleep(2050 * time.Millisecond)
			running[n].signal(syscall.SIGKILL)
			d.note("%s is gone", running[n].name)
			<-running[n].ended
			// Another one comes 4 s after the notice.
			time.Sleep(2 * time.Second)
			if err := begin(n); err != nil {
				return fail(err)
			}
		} else {
			time.Sleep(4 * time.Second)
		}
		time.Sleep(3500 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	text := fmt.Sprintf("sent %d, answered with success %d, cut and taken for whole %d", sent.Load(), answered.Load(), broken.Load())
	d.note("%s", text)
	fmt.Println(text)
	switch {
	case answered.Load() == 0:
		return 2
	case broken.Load() > 0:
		return 1
	}
	return 0
}
