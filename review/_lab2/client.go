package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// caller is a client with kept connections to one front.
type caller struct {
	d      *deployment
	client *http.Client
	front  string
}

func (d *deployment) newCaller(front string) *caller {
	return &caller{d: d, front: front, client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// outcome is what a client saw of one attempt.
type outcome struct {
	id     string
	status int
	signed bool
	body   []byte
	err    error
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("%s no whole answer: %v", o.id, o.err)
	}
	return fmt.Sprintf("%s status %d, signature %v, %d bytes", o.id, o.status, o.signed, len(o.body))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// headers are further headers of a call.
type headers map[string]string

// call sends one attempt and reads its answer.
func (c *caller) call(method, path string, deadline time.Duration, body []byte, more headers) outcome {
	o := outcome{id: newID()}
	request, err := http.NewRequest(method, "http://"+c.front+path, bytes.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	request.Host = "desk.example"
	request.Header.Set("X-Marigoldpoint-Attempt-Id", o.id)
	request.Header.Set("X-Marigoldpoint-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range more {
		request.Header.Set(name, value)
	}
	c.d.note("client sends %s %s %s to %s", o.id, method, path, c.front)
	response, err := c.client.Do(request)
	if err != nil {
		o.err = err
	} else {
		o.status, o.signed = response.StatusCode, response.Header.Get("X-Marigoldpoint-Response-Signature") != ""
		o.body, o.err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	c.d.note("client gets %s", o)
	return o
}
