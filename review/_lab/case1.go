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
	// extraShare is the share of the workers that send additional bytes, and extraRate the share
	// of their answers that are followed by them.
	extraShare = 0.5
	extraRate  = 0.03
	// extraTime is how long they do, each extraInterval.
	extraTime     = 5 * time.Second
	extraInterval = 10 * time.Second
	// bookingClients send a request each bookingPause for bookingTime.
	bookingClients = 12
	bookingPause   = 150 * time.Millisecond
	bookingTime    = 50 * time.Second
)

// bookingPrefixes are the prefixes of a route with one attempt, as the sites have it, and of one with
// two. Half of the clients use each.
var bookingPrefixes = [...]string{"/puxa403/", "/lohu930/"}

// The bytes that follow a complete response. The first are what a worker sends to a request that
// bears no id, the second a success without id and signature. Neither belongs to a request.
const (
	lateNotExecuted = "HTTP/1.1 400 Bad Request\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	lateSuccess     = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nOK\n"
)

// bookings counts what clients were told of their bookings.
type bookings struct {
	sent, succeeded, unsigned, foreign atomic.Int64

	mu sync.Mutex
	// refused holds the requests that were answered with a promise that they have not run.
	refused map[string]int
}

// notRunRepeated checks TWICE and REFUSED: a request that isn't idempotent runs once at most, and one
// that was answered as not run has not run.
func notRunRepeated(l *lab, trouble bool) (bool, error) {
	b, workers, err := l.book(trouble, lateNotExecuted)
	if err != nil {
		return false, err
	}
	runs := make(map[string]int)
	for _, w := range workers {
		w.mu.Lock()
		for id, n := range w.ran {
			runs[id] += n
		}
		w.mu.Unlock()
	}
	twice, denied := 0, 0
	for id, n := range runs {
		if n > 1 {
			twice++
			l.note("BROKEN, TWICE: %s is not idempotent and ran %d times", id, n)
		}
		if status := b.refused[id]; status != 0 {
			denied++
			l.note("BROKEN, REFUSED: %s was answered %d, and has run", id, status)
		}
	}
	summary := fmt.Sprintf("%s; %d ran twice, %d were answered as not run and have run", b.summary(workers), twice, denied)
	l.note("%s", summary)
	fmt.Println(summary)
	return twice+denied > 0, b.check(trouble, workers)
}

// unsignedSuccess checks MIXED: a client gets no success without the worker's signature.
func unsignedSuccess(l *lab, trouble bool) (bool, error) {
	b, workers, err := l.book(trouble, lateSuccess)
	if err != nil {
		return false, err
	}
	summary := b.summary(workers)
	l.note("%s", summary)
	fmt.Println(summary)
	return b.unsigned.Load()+b.foreign.Load() > 0, b.check(trouble, workers)
}

func (b *bookings) summary(workers []*plainWorker) string {
	return fmt.Sprintf("%d requests, %d successes, %d times additional bytes; %d successes without a signature, %d of another request",
		b.sent.Load(), b.succeeded.Load(), countExtras(workers), b.unsigned.Load(), b.foreign.Load())
}

// check reports an error if the case did not come about.
func (b *bookings) check(trouble bool, workers []*plainWorker) error {
	if b.succeeded.Load() < b.sent.Load()/2 || trouble && countExtras(workers) == 0 {
		return errors.New("the case did not come about")
	}
	return nil
}

func countExtras(workers []*plainWorker) int64 {
	n := int64(0)
	for _, w := range workers {
		n += w.extras.Load()
	}
	return n
}

// book starts a deployment with an application service, sends bookings, and returns what became of
// them. A share of the workers send additional bytes after some of their complete responses.
func (l *lab) book(trouble bool, additional string) (*bookings, []*plainWorker, error) {
	fronts := []int{11, 12}
	if err := l.startAll(fronts, nil); err != nil {
		return nil, nil, err
	}
	const count = 4
	var workers []*plainWorker
	began := time.Now()
	for i := range count {
		faulty := trouble && float64(i) < extraShare*count
		w, err := l.newPlainWorker(21+i, fmt.Sprintf("i-plain%d", i), "prenota", additional, func() bool {
			return faulty && time.Since(began)%extraInterval >= extraInterval-extraTime && rand.Float64() < extraRate
		})
		if err != nil {
			return nil, nil, err
		}
		workers = append(workers, w)
	}
	var routes []any
	for attempts, prefix := range bookingPrefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-confirm%d", attempts+1), "hostname": "ficu95.example", "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 1200,
			"targetLatencyMs": 150, "priority": 2, "service": "prenota", "maxAttempts": attempts + 1,
		})
	}
	err := l.configure(1, routes, []any{map[string]any{"name": "prenota", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false}})
	if err != nil {
		return nil, nil, err
	}
	for _, host := range fronts {
		if err := l.awaitReady(host); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(2 * time.Second)
	b := &bookings{refused: make(map[string]int)}
	var group sync.WaitGroup
	until := time.Now().Add(bookingTime)
	for c := range bookingClients {
		group.Go(func() {
			// A client keeps its connection open for many requests.
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			defer client.CloseIdleConnections()
			for n := 0; time.Now().Before(until); n++ {
				front := l.address(fronts[c%len(fronts)], offsetFront)
				b.send(l, client, "http://"+front+bookingPrefixes[c/2%2]+"2f", fmt.Sprintf("c%d-%04d", c, n))
				time.Sleep(bookingPause)
			}
		})
	}
	group.Wait()
	return b, workers, nil
}

// send sends one booking and notes its answer.
func (b *bookings) send(l *lab, client *http.Client, url, id string) {
	r, _ := http.NewRequest(http.MethodPost, url, strings.NewReader("slot "+id))
	r.Host = "ficu95.example"
	r.Header.Set(headerAttempt, id)
	r.Header.Set(headerDeadline, "2500")
	b.sent.Add(1)
	a, err := client.Do(r)
	if err != nil {
		l.note("client: %s: no answer: %v", id, err)
		return
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	signature := a.Header.Get(headerSignature)
	l.note("client: %s: status %d, signature %q, body %q, error %v", id, a.StatusCode, signature, body, err)
	switch {
	case err != nil:
	case a.StatusCode == http.StatusServiceUnavailable, a.StatusCode == http.StatusTooManyRequests, a.StatusCode == http.StatusRequestTimeout, a.StatusCode == http.StatusMisdirectedRequest:
		b.mu.Lock()
		b.refused[id] = a.StatusCode
		b.mu.Unlock()
	case a.StatusCode/100 != 2:
	case signature == "":
		b.unsigned.Add(1)
		l.note("BROKEN: %s: a success without the worker's signature", id)
	case signature != sign(id, string(body)):
		b.foreign.Add(1)
		l.note("BROKEN: %s: the answer of another request", id)
	}
	if err == nil && a.StatusCode/100 == 2 {
		b.succeeded.Add(1)
	}
}
