package starter_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/demonstrator"
	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/starter"
)

// testTimeout bounds the waits of a test; it is not a performance bound.
const testTimeout = 100 * time.Second

// Guards against answers that are lost at a deployment of a new version, although each
// host is stopped as planned. A process gets SIGTERM while it carries streams (an entry
// to its callers, a companion from its engine, a leader's host both of these and accepted
// changes) and must not exit before they end.
var _ = Describe("a planned stop under streaming load", Ordered, func() {
	stopped := []demonstrator.Fault{demonstrator.CompanionStop, demonstrator.LeaderStop, demonstrator.EntryStop}
	var report *demonstrator.FaultReport

	BeforeAll(func(ctx SpecContext) {
		folder, err := os.MkdirTemp("", "starter")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, folder)
		report, err = demonstrator.FaultRun{
			Run: demonstrator.Run{
				Workload: driver.Peachtree().WithAdapters(10), Entries: 3, Engines: 2, Services: 2,
				Slots: 4, MaxBatch: 16, TimeScale: 0.05, RateScale: 0.3, Seed: 1, Folder: folder,
			},
			Faults: stopped,
			Out:    GinkgoWriter,
		}.Do(ctx)
		Expect(err).NotTo(HaveOccurred())
	}, NodeTimeout(testTimeout))

	figures := func(fault demonstrator.Fault) demonstrator.FaultFigures {
		GinkgoHelper()
		for _, f := range report.Faults {
			if f.Fault == fault {
				return f
			}
		}
		Fail("no figures of " + fault.String())
		return demonstrator.FaultFigures{}
	}

	DescribeTable("interrupts no request",
		func(fault demonstrator.Fault) {
			f := figures(fault)
			Expect(f.Streams).To(BeNumerically(">", 0))
			Expect(f.StreamsWhole).To(Equal(f.Streams))
			Expect(f.Endings.Calls).To(BeNumerically(">", 0))
			Expect(f.Endings.Cut).To(BeZero())
			tried := int64(0)
			for _, p := range f.Promises {
				Expect(p.Broken).To(BeZero(), "%v: %v", p.Promise, p.Examples)
				if p.Promise == demonstrator.StopCutsNothing {
					tried = p.Tried
				}
			}
			Expect(tried).To(BeNumerically(">", f.Streams/2))
		},
		Entry("through a companion", demonstrator.CompanionStop),
		Entry("through the control leader", demonstrator.LeaderStop),
		Entry("through an entry", demonstrator.EntryStop),
	)

	It("breaks no promise to callers", func() { Expect(report.Broken()).To(BeZero()) })
})

var _ = Describe("a process that can't start", func() {
	// Guards against a failed start with an address in use that leaves the other
	// addresses occupied, so that the next start fails too.
	It("closes the listeners it had opened", func() {
		taken, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer taken.Close()
		var opened []string
		folder, err := os.MkdirTemp("", "starter")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(folder)
		c := configurer.Settings{
			Node: "entry-1", Region: "r", FailureDomain: "d", DataFolder: folder,
			Roles:        []configurer.Role{configurer.RoleEntry, configurer.RoleControl},
			ControlHosts: []configurer.ControlHost{{ID: 1, Address: "127.0.0.1:1", FailureDomain: "d", Region: "r"}},
			Control:      configurer.ControlSettings{ID: 1, Listen: "127.0.0.1:1", Group: "g", Bootstrap: true},
		}
		c.Entry.Listen, c.Operators.Listen = "127.0.0.1:2", taken.Addr().String()
		_, err = starter.NewProcess(starter.Settings{Configuration: c.WithDefaults(), Listen: func(address string) (net.Listener, error) {
			if address == taken.Addr().String() {
				return net.Listen("tcp", address)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err == nil {
				opened = append(opened, l.Addr().String())
			}
			return l, err
		}})
		Expect(err).To(MatchError(ContainSubstring("entry-1")))
		Expect(opened).To(HaveLen(2))
		for _, address := range opened {
			l, err := net.Listen("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			Expect(l.Close()).To(Succeed())
		}
	})
})

var _ = Describe("a planned stop of an entry", func() {
	// Guards against a request that becomes complete late in the grace period, is taken, and is interrupted at
	// the end of it.
	It("refuses requests that become complete in the grace period", func() {
		listened := map[string]net.Listener{}
		folder := GinkgoT().TempDir()
		c := configurer.Settings{
			Node: "entry-1", Region: "r", FailureDomain: "d", DataFolder: folder,
			Roles:        []configurer.Role{configurer.RoleEntry, configurer.RoleControl},
			ControlHosts: []configurer.ControlHost{{ID: 1, Address: "127.0.0.1:1", FailureDomain: "d", Region: "r"}},
			Control:      configurer.ControlSettings{ID: 1, Listen: "127.0.0.1:1", Group: "g", Bootstrap: true},
		}
		c.Entry.Listen, c.Operators.Listen = "127.0.0.1:2", "127.0.0.1:3"
		c.Stop.BalancerDelay, c.Stop.GracePeriod = configurer.Duration(time.Millisecond), configurer.Duration(testTimeout)
		p, err := starter.NewProcess(starter.Settings{Configuration: c.WithDefaults(), Listen: func(address string) (net.Listener, error) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			listened[address] = l
			return l, err
		}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		caller, err := net.Dial("tcp", listened["127.0.0.1:2"].Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer caller.Close()
		_, err = io.WriteString(caller, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n")
		Expect(err).NotTo(HaveOccurred())
		stopped := make(chan error, 1)
		go func() { stopped <- p.Stop(context.Background()) }()
		Eventually(func() error {
			refused, err := net.Dial("tcp", listened["127.0.0.1:2"].Addr().String())
			if err == nil {
				_ = refused.Close()
			}
			return err
		}).WithTimeout(testTimeout).Should(HaveOccurred())
		_, err = io.WriteString(caller, "\r\n{}")
		Expect(err).NotTo(HaveOccurred())
		answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
		Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		body, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(ContainSubstring("stopping"))
		Eventually(stopped).WithTimeout(testTimeout).Should(Receive(BeNil()))
	})
})
