package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// worker is a stand-in of a plain application worker. It runs as a process of its own, so that
// a case can kill it. It reports each event on standard output, one line each.
type worker struct {
	id, address, service string
	controls             []string
	zone                 string
	slots                chan struct{}
	work                 time.Duration
	unframedEach         int
	// spoilsUntil is the end of the time in which some answers have no length, in milliseconds, and
	// spoilable counts the answers since its beginning.
	spoilsUntil, spoilable atomic.Int64
	engine                 bool
	events                 int
	pause                  time.Duration

	running, waiting atomic.Int64
	state            atomic.Value
	remaining        atomic.Int64
	seq              atomic.Uint64

	out sync.Mutex
}

func (w *worker) say(format string, a ...any) {
	w.out.Lock()
	defer w.out.Unlock()
	fmt.Printf("%d ", time.Now().UnixMilli())
	fmt.Printf(format+"\n", a...)
}

// wholeBody is the body of the answer to a request: 800 bytes that depend on its id.
func wholeBody(id string) []byte {
	return bytes.Repeat([]byte((id + strings.Repeat(".", 40))[:40]), 20)
}

func runWorker(arguments []string) int {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{slots: make(chan struct{}, 6)}
	flags.StringVar(&w.id, "id", "", "id of this incarnation")
	flags.StringVar(&w.address, "address", "", "IP:PORT")
	flags.StringVar(&w.service, "service", "portal", "service")
	flags.StringVar(&w.zone, "zone", "zone-a", "zone")
	controls := flags.String("controls", "", "addresses of control, separated by commas")
	flags.DurationVar(&w.work, "work", 60*time.Millisecond, "time that a request takes")
	flags.BoolVar(&w.engine, "engine", false, "a model worker, which answers with streams")
	flags.IntVar(&w.events, "events", 73, "events of a stream")
	flags.DurationVar(&w.pause, "pause", 55*time.Millisecond, "time between the events of a stream")
	flags.IntVar(&w.unframedEach, "unframed-each", 0, "each n-th answer of the 5 s after SIGUSR2 has no length; 0: none")
	if err := flags.Parse(arguments); err != nil {
		return 2
	}
	w.controls = strings.Split(*controls, ",")
	if w.engine {
		w.slots = make(chan struct{}, 64)
	}
	w.state.Store("ready")
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.say("listens %s %s", w.id, w.address)
	notice := make(chan os.Signal, 1)
	signal.Notify(notice, syscall.SIGUSR1)
	wake := make(chan struct{}, 1)
	go func() {
		// The worker is removed at short notice; see "Service discovery".
		<-notice
		w.remaining.Store(time.Now().Add(2 * time.Second).UnixMilli())
		w.state.Store("draining")
		wake <- struct{}{}
	}()
	spoil := make(chan os.Signal, 1)
	signal.Notify(spoil, syscall.SIGUSR2)
	go func() {
		for range spoil {
			w.spoilable.Store(0)
			w.spoilsUntil.Store(time.Now().Add(5 * time.Second).UnixMilli())
		}
	}()
	go w.beat(wake)
	for {
		c, err := listener.Accept()
		if err != nil {
			return 2
		}
		go w.serve(c)
	}
}

// beat sends heartbeats, each to the next control host that acknowledges it.
func (w *worker) beat(wake <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	next := 0
	for {
		state := w.state.Load().(string)
		body := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": cap(w.slots),
			"state": state, "coldLeftMs": 0, "seq": w.seq.Add(1),
		}
		if w.engine {
			body["phase"], body["models"] = "both", w.models()
		}
		if state == "draining" {
			body["remainingMs"] = max(0, w.remaining.Load()-time.Now().UnixMilli())
		}
		text, _ := json.Marshal(body)
		for range w.controls {
			url := "http://" + w.controls[next%len(w.controls)] + "/instances/" + w.id
			request, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(text))
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode/100 == 2 {
					w.say("acknowledged %s %s", w.id, state)
					break
				}
			}
			next++
			time.Sleep(50 * time.Millisecond)
		}
		select {
		case <-wake:
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := new(bytes.Buffer)
		if _, err := body.ReadFrom(request.Body); err != nil {
			return
		}
		if !w.answer(c, request) {
			return
		}
	}
}

func (w *worker) head(id string, status string, extra string, length int) string {
	text := "HTTP/1.1 " + status + "\r\nX-Marigoldpoint-Attempt-Id: " + id + "\r\nX-Marigoldpoint-Server-Load: " +
		fmt.Sprintf("%d,%d,%d", w.running.Load(), w.waiting.Load(), cap(w.slots)) + "\r\n" + extra
	if length >= 0 {
		text += "Content-Length: " + strconv.Itoa(length) + "\r\nKeep-Alive: timeout=15\r\n"
	}
	return text + "\r\n"
}

// answer serves one request and reports whether the connection goes on.
func (w *worker) answer(c net.Conn, request *http.Request) bool {
	id := request.Header.Get("X-Marigoldpoint-Attempt-Id")
	if request.URL.Path == "/health" {
		_, err := c.Write([]byte(w.head(id, "200 OK", "X-Marigoldpoint-Instance-Id: "+w.id+"\r\n", 0)))
		return err == nil
	}
	if w.engine && request.URL.Path == "/report" {
		text, _ := json.Marshal(map[string]any{
			"phase": "both", "models": w.models(), "busy": false, "seq": 0, "queued": w.waiting.Load(), "active": w.running.Load(),
			"kvUsed": 1000 * w.running.Load(), "kvTotal": 232000, "handles": 0, "pending": []string{},
		})
		_, err := c.Write(append([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"), text...))
		return err == nil
	}
	if w.engine && request.Method == http.MethodPost && request.URL.Path != "/order" && request.Header.Get("X-Marigoldpoint-Attempt-Id") == "" {
		// None of the other calls finds what it names.
		_, err := c.Write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	}
	if w.engine && request.URL.Path == "/order" {
		_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	}
	if expected := request.Header.Get("X-Marigoldpoint-Expect-Instance"); expected != "" && expected != w.id {
		w.say("elsewhere %s %s", w.id, id)
		_, err := c.Write([]byte(w.head(id, "421 Misdirected Request", "X-Marigoldpoint-Not-Executed: 1\r\n", 0)))
		return err == nil
	}
	if w.waiting.Load() >= 24 {
		_, err := c.Write([]byte(w.head(id, "503 Service Unavailable", "X-Marigoldpoint-Not-Executed: 1\r\n", 0)))
		return err == nil
	}
	w.waiting.Add(1)
	w.slots <- struct{}{}
	w.waiting.Add(-1)
	w.running.Add(1)
	defer func() {
		w.running.Add(-1)
		<-w.slots
	}()
	w.say("runs %s %s", w.id, id)
	whole := wholeBody(id)
	signature := "X-Marigoldpoint-Response-Signature: " + w.id + "." + id + ".600.0\r\n"
	if w.engine {
		return w.stream(c, id, signature, w.spoils())
	}
	time.Sleep(w.work)
	_, err := c.Write(append([]byte(w.head(id, "200 OK", signature, len(whole))), whole...))
	w.say("whole %s %s", w.id, id)
	return err == nil
}

// spoils reports whether the next answer has no length.
func (w *worker) spoils() bool {
	if w.unframedEach <= 0 || time.Now().UnixMilli() >= w.spoilsUntil.Load() {
		return false
	}
	return w.spoilable.Add(1)%int64(w.unframedEach) == 0
}

func (w *worker) models() []map[string]any {
	return []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}}
}

// event is one event of the stream that answers a request.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

// stream answers with a stream, in chunks or without a length.
func (w *worker) stream(c net.Conn, id, signature string, unframed bool) bool {
	extra := signature + "Content-Type: text/event-stream\r\nX-Marigoldpoint-Weight-Versions: 1\r\n"
	if unframed {
		extra += "Connection: close\r\n"
	} else {
		extra += "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=15\r\n"
	}
	time.Sleep(w.pause)
	if _, err := c.Write([]byte(w.head(id, "200 OK", extra, -1))); err != nil {
		return false
	}
	if unframed {
		w.say("unframed %s %s", w.id, id)
	}
	for n := 1; n <= w.events; n++ {
		piece := event(id, n)
		if !unframed {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := c.Write([]byte(piece)); err != nil {
			w.say("left %s %s", w.id, id)
			return false
		}
		if n < w.events {
			time.Sleep(w.pause)
		}
	}
	w.say("whole %s %s", w.id, id)
	if unframed {
		return false
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}
