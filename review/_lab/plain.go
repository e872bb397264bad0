package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform.
const (
	headerAttempt   = "X-Marigoldpoint-Attempt-Id"
	headerSignature = "X-Marigoldpoint-Response-Signature"
	headerExpect    = "X-Marigoldpoint-Expect-Instance"
	headerNotRun    = "X-Marigoldpoint-Not-Executed"
	headerDeadline  = "X-Marigoldpoint-Deadline-Ms"
	headerModel     = "X-Marigoldpoint-Model"
	headerTokens    = "X-Marigoldpoint-Token-Count"
	headerBackup    = "X-Marigoldpoint-Kv-Backup"
	headerFrom      = "Kv-From"
	headerLastEvent = "Last-Event-Id"
	headerVersion   = "X-Marigoldpoint-Expect-Version"
	headerInstance  = "X-Marigoldpoint-Instance-Id"
)

// sign returns the signature of an answer.
func sign(id, body string) string {
	sum := sha256.Sum256([]byte(id + "\n" + body))
	return hex.EncodeToString(sum[:8])
}

// plainWorker is a worker of an application service. It serves one request at a time on a
// connection, and writes its answers itself.
type plainWorker struct {
	lab     *lab
	id      string
	service string
	address string
	socket  net.Listener
	// additional are additional bytes that follow a complete response. They belong to no request.
	additional string
	// extra decides, for an answer, whether additional bytes follow it late, when the next
	// answer is expected on the connection.
	extra func() bool
	// extras counts the additional bytes that were sent.
	extras atomic.Int64

	mu sync.Mutex
	// ran counts the runs by the request's id.
	ran map[string]int
}

func (l *lab) newPlainWorker(host int, id, service, additional string, extra func() bool) (*plainWorker, error) {
	w := &plainWorker{
		lab: l, id: id, service: service, address: l.address(host, offsetApp), additional: additional, extra: extra, ran: make(map[string]int),
	}
	socket, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.socket = socket
	l.onClose(func() { _ = socket.Close() })
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	l.beat(id, func(seq int) map[string]any {
		return map[string]any{
			"service": service, "address": w.address, "zone": "catania-a", "version": "v1", "slots": 6, "state": "ready",
			"coldLeftMs": 0, "seq": seq,
		}
	})
	return w, nil
}

func (w *plainWorker) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	late := false
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late {
			late = false
			w.extras.Add(1)
			w.lab.note("%s: additional bytes after a complete response, late, before its response to %s", w.id, r.Header.Get(headerAttempt))
			if _, err := io.WriteString(c, w.additional); err != nil {
				return
			}
		}
		id := r.Header.Get(headerAttempt)
		head := fmt.Sprintf("%s: %s\r\nX-Marigoldpoint-Server-Load: 1,0,6\r\nKeep-Alive: timeout=10\r\n", headerAttempt, id)
		switch {
		case r.URL.Path == "/health":
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstance, w.id)
		case r.Header.Get(headerExpect) != "" && r.Header.Get(headerExpect) != w.id:
			_, err = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		case id == "":
			_, err = fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotRun)
		default:
			w.mu.Lock()
			w.ran[id]++
			w.mu.Unlock()
			time.Sleep(30 * time.Millisecond)
			answer := fmt.Sprintf("booked %s by %s: %d bytes", id, w.id, len(body))
			w.lab.note("%s: ran %s", w.id, id)
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s: %s\r\nContent-Length: %d\r\n\r\n%s", head, headerSignature, sign(id, answer), len(answer), answer)
			late = w.extra()
		}
		if err != nil {
			return
		}
	}
}
