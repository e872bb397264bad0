package soaker

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// proxied is a connection through a proxy, of which read collects what arrives at the two ends.
type proxied struct {
	proxy        *proxy
	caller, host net.Conn
	atHost       *arrived
	atCaller     *arrived
}

// arrived is what a peer has received.
type arrived struct {
	mu   sync.Mutex
	text string // guarded by mu
	err  error  // guarded by mu
}

func (a *arrived) add(text string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.text += text
	a.err = err
}

func (a *arrived) get() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.text, a.err
}

// texts returns what has arrived at the host and at the caller.
func (c *proxied) texts() [2]string {
	host, _ := c.atHost.get()
	caller, _ := c.atCaller.get()
	return [2]string{host, caller}
}

func connect(t *testing.T, p *proxy) *proxied {
	t.Helper()
	caller, near := net.Pipe()
	far, host := net.Pipe()
	go p.join(near, far)
	c := &proxied{proxy: p, caller: caller, host: host, atHost: &arrived{}, atCaller: &arrived{}}
	read := func(conn net.Conn, a *arrived) {
		buffer := make([]byte, 16)
		for {
			n, err := conn.Read(buffer)
			a.add(string(buffer[:n]), err)
			if err != nil {
				return
			}
		}
	}
	go read(host, c.atHost)
	go read(caller, c.atCaller)
	synctest.Wait()
	return c
}

// say sends a letter in each direction and waits until nothing more happens at this time.
func (c *proxied) say() {
	go func() { _, _ = c.caller.Write([]byte("a")) }()
	go func() { _, _ = c.host.Write([]byte("b")) }()
	synctest.Wait()
}

// Guards against proxies that disturb nothing, disturb the wrong direction or go on after the
// fault's end. A soak would then pass without having tested what it reports.
func TestLinkFaults(t *testing.T) {
	const delay = 100 * time.Millisecond
	for _, test := range []struct {
		fault LinkFault
		// during and after are what has arrived at the host and the caller on a connection
		// that was open before the fault, and opened on one that was opened during it.
		during, after, opened [2]string
	}{
		{Delay, [2]string{"a", "b"}, [2]string{"aaa", "bbb"}, [2]string{"aa", "bb"}},
		{Reset, [2]string{"a", "b"}, [2]string{"a", "b"}, [2]string{"", ""}},
		{CutInward, [2]string{"a", "bb"}, [2]string{"aaa", "bbb"}, [2]string{"aa", "bb"}},
		{CutOutward, [2]string{"aa", "b"}, [2]string{"aaa", "bbb"}, [2]string{"aa", "bb"}},
		{Silence, [2]string{"a", "b"}, [2]string{"a", "b"}, [2]string{"", ""}},
	} {
		t.Run(test.fault.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := idleProxy("")
				defer p.cancel()
				c := connect(t, p)
				c.say()
				g.Expect(c.texts()).To(Equal([2]string{"a", "b"}))
				e := LinkEvent{Fault: test.fault}
				if test.fault == Delay {
					e.Delay = delay
				}
				end := p.disturb(e)
				opened := connect(t, p)
				c.say()
				opened.say()
				g.Expect(c.texts()).To(Equal(test.during))
				time.Sleep(delay)
				end()
				synctest.Wait()
				c.say()
				opened.say()
				g.Expect(c.texts()).To(Equal(test.after))
				g.Expect(opened.texts()).To(Equal(test.opened))
				later := connect(t, p)
				later.say()
				g.Expect(later.texts()).To(Equal([2]string{"a", "b"}))
			})
		})
	}
}

// Guards against silence that delivers the end of a connection. The peer would learn of it at once,
// and no timeout for silent connections would be tested.
func TestSilenceHidesEnds(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			p := idleProxy("")
			defer p.cancel()
			c := connect(t, p)
			if silent {
				p.disturb(LinkEvent{Fault: Silence})()
			}
			g.Expect(c.host.Close()).To(Succeed())
			synctest.Wait()
			_, err := c.atCaller.get()
			if silent {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(Equal(io.EOF))
			}
		})
	}
}
