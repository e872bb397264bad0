package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	case6Time  = 20 * time.Second
	case6Pause = 150 * time.Millisecond
	// crashInterval is the time between two crashes of a worker, and crashTime how long it is down.
	crashInterval = 8 * time.Second
	crashTime     = 2 * time.Second
	case6Events   = 40
)

// streamWorker is a worker whose streams have no length and end with their connection.
type streamWorker struct {
	lab     *lab
	address string

	mu     sync.Mutex
	id     string
	socket net.Listener
	conns  map[net.Conn]struct{}
	// short holds the requests whose streams the worker did not finish.
	short map[string]bool
}

// up starts an incarnation.
func (w *streamWorker) up(id string) error {
	socket, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.id, w.socket, w.conns = id, socket, make(map[net.Conn]struct{})
	w.mu.Unlock()
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = struct{}{}
			w.mu.Unlock()
			go w.serve(c, id)
		}
	}()
	go func() {
		for seq := 1; ; seq++ {
			w.mu.Lock()
			current := w.id
			w.mu.Unlock()
			if current != id {
				return
			}
			w.lab.putControl(http.MethodPut, "/instances/"+id, map[string]any{
				"service": "spiega", "address": w.address, "zone": "catania-a", "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": seq,
			})
			time.Sleep(heartbeatMs * time.Millisecond)
		}
	}()
	return nil
}

// crash ends the incarnation as the end of its process does: the operating system closes its sockets.
func (w *streamWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.id = ""
	_ = w.socket.Close()
	for c := range w.conns {
		_ = c.Close()
	}
}

func (w *streamWorker) serve(c net.Conn, incarnation string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(headerAttempt)
	if e := r.Header.Get(headerExpect); e != "" && e != incarnation {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerAttempt, id)
		return
	}
	w.mu.Lock()
	w.short[id] = true
	w.mu.Unlock()
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", headerAttempt, id, headerSignature, sign(id, incarnation))
	for e := 1; e <= case6Events && err == nil; e++ {
		time.Sleep(eventPause)
		_, err = fmt.Fprintf(c, "id: %d\ndata: event %d of %s\n\n", e, e, id)
	}
	if err == nil {
		w.mu.Lock()
		delete(w.short, id)
		w.mu.Unlock()
	}
}

// shortStream checks ORDER: a stream doesn't end as complete before its last piece.
func shortStream(l *lab, trouble bool) (bool, error) {
	fronts := []int{11}
	if err := l.startAll(fronts, nil); err != nil {
		return false, err
	}
	var workers []*streamWorker
	for i := range 3 {
		w := &streamWorker{lab: l, address: l.address(21+i, offsetApp), short: make(map[string]bool)}
		if err := w.up(fmt.Sprintf("i-stream%d-0", i)); err != nil {
			return false, err
		}
		l.onClose(w.crash)
		workers = append(workers, w)
	}
	err := l.configure(1, []any{map[string]any{
		"name": "r-explain", "hostname": "ficu95.example", "pathPrefix": "/pufi791/", "kind": "streaming", "timeoutMs": 15000,
		"targetLatencyMs": 1000, "priority": 1, "service": "spiega", "maxAttempts": 1, "resumable": false, "targetGapMs": 400,
	}}, []any{map[string]any{"name": "spiega", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false}})
	if err != nil {
		return false, err
	}
	if err := l.awaitReady(fronts[0]); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	go func() {
		for n := 0; trouble && time.Since(began)+crashInterval < case6Time+2*time.Second; n++ {
			time.Sleep(crashInterval - crashTime)
			w := workers[n%len(workers)]
			l.note("a worker crashes")
			w.crash()
			time.Sleep(crashTime)
			if err := w.up(fmt.Sprintf("i-stream%d-%d", n%len(workers), n+1)); err != nil {
				l.note("restart: %v", err)
			}
		}
	}()
	var mu sync.Mutex
	complete := make(map[string]bool)
	var group sync.WaitGroup
	n := 0
	for ; time.Since(began) < case6Time; n++ {
		id := fmt.Sprintf("s-%04d", n)
		group.Go(func() {
			if err := l.stream(l.address(fronts[0], offsetFront), id); err == nil {
				mu.Lock()
				complete[id] = true
				mu.Unlock()
			} else if errors.Is(err, errStatus) && strings.Contains(err.Error(), "404") {
				l.note("%s: %v", id, err)
			}
		})
		time.Sleep(case6Pause)
	}
	group.Wait()
	broken := 0
	for _, w := range workers {
		w.mu.Lock()
		for id := range w.short {
			if complete[id] {
				broken++
				l.note("BROKEN: %s reached its client as complete, and its worker had not finished it", id)
			}
		}
		w.mu.Unlock()
	}
	summary := fmt.Sprintf("%d streams, %d complete at their clients; %d of these were cut short", n, len(complete), broken)
	l.note("%s", summary)
	fmt.Println(summary)
	return broken > 0, nil
}
