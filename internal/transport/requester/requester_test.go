package requester_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
	"marigoldpoint.example/marigoldpoint/internal/transport/operator"
	"marigoldpoint.example/marigoldpoint/internal/transport/requester"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

// deployment is one control host with an operators' listener.
type deployment struct {
	*requester.Client
	store interface{ Revision() uint64 }
	// dropReplies holds one value for each change after which the listener drops the
	// connection instead of sending the reply.
	dropReplies chan struct{}
}

func newDeployment() *deployment {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	hosts := []configurer.ControlHost{{ID: 1, Address: l.Addr().String(), FailureDomain: "d1", Region: "r"}}
	c, err := controller.NewControl(controller.Settings{
		Node: "control", Region: "r", FailureDomain: "d1", ID: 1, Hosts: hosts, Listener: l, DataFolder: GinkgoT().TempDir(),
		Control: configurer.ControlSettings{Listen: l.Addr().String(), Group: "test", Bootstrap: true},
		Log:     zerolog.Nop(), Random: rand.New(rand.NewPCG(1, 1)),
	})
	Expect(err).NotTo(HaveOccurred())
	c.Start()
	DeferCleanup(c.Close)
	s := subscriber.NewClient(subscriber.Settings{
		Node: "entry", Region: "r", FailureDomain: "d1", Group: "test", Scope: distributor.ScopeEntry, Hosts: hosts,
		Index: indexer.NewIndex(indexer.Settings{}), Log: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, 2)),
	})
	DeferCleanup(s.Close)
	notAccepted := func(err error) bool { return errors.Is(err, subscriber.ErrNotAccepted) }
	mux := http.NewServeMux()
	mux.Handle(operator.Prefix, operator.NewAPI(operator.Settings{Control: s, NotAccepted: notAccepted}))
	group := controller.Administration(s, notAccepted)
	mux.Handle(controller.AdministrationPath, group)
	mux.Handle(controller.AdministrationPath+"/", group)
	d := &deployment{store: c.Store(), dropReplies: make(chan struct{}, 100)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut {
			mux.ServeHTTP(w, r)
			return
		}
		select {
		case <-d.dropReplies:
			mux.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			mux.ServeHTTP(w, r)
		}
	}))
	DeferCleanup(server.Close)
	d.Client = requester.NewClient(requester.Settings{Address: strings.TrimPrefix(server.URL, "http://"), Pause: time.Millisecond})
	return d
}

func (d *deployment) declare(path, spec string) {
	_, err := d.Put(context.Background(), path, []byte(`{"Spec":`+spec+`}`), requester.Conditions{})
	Expect(err).NotTo(HaveOccurred())
}

func (d *deployment) export() string {
	var b bytes.Buffer
	_, err := d.Export(context.Background(), &b)
	Expect(err).NotTo(HaveOccurred())
	return b.String()
}

// untilText collects what is written, and calls reached once it contains the text.
type untilText struct {
	written []byte
	text    string
	reached func()
}

func (u *untilText) Write(b []byte) (int, error) {
	u.written = append(u.written, b...)
	if bytes.Contains(u.written, []byte(u.text)) {
		u.reached()
	}
	return len(b), nil
}

// populated returns a deployment with a resource of each kind.
func populated() *deployment {
	d := newDeployment()
	d.declare("portal", `{"Share":3}`)
	d.declare("portal/adapters/forms", `{"BaseModel":"base"}`)
	d.declare("portal/adapters/bare", `{"BaseModel":"base"}`)
	d.declare("portal/versions/forms@v1", `{"Source":"portal/forms/v1","SizeBytes":9}`)
	d.declare("portal/adapters/forms", `{"BaseModel":"base","Current":"v1"}`)
	d.declare("portal/priorityrules/rush", `{"Adapter":"forms","Priority":9}`)
	d.declare("macon/services/lookup", `{"IdempotentMethods":["GET"]}`)
	d.declare("macon/keys/desk", `{"Secret":"a-bearer-key-in-clear"}`)
	return d
}

var _ = Describe("A back-up", func() {
	ctx := context.Background()

	// Guards against a back-up that is incomplete, or can't be declared in its own
	// order. A majority of the disks is lost, operators form a new group and declare
	// their back-up, and some replies are lost: afterwards the deployment must answer
	// with the same versions and accept the same keys as before.
	It("restores all resources in a new group, despite lost replies", func() {
		old, fresh := populated(), newDeployment()
		backup := old.export()
		Expect(strings.Split(strings.TrimSpace(backup), "\n")).To(HaveLen(8))
		Expect(backup).NotTo(ContainSubstring("a-bearer-key-in-clear"))
		for range 3 {
			fresh.dropReplies <- struct{}{}
		}
		Expect(fresh.Import(ctx, strings.NewReader(backup), "first")).To(Equal(requester.ImportResult{Declared: 8}))
		Expect(fresh.dropReplies).To(BeEmpty())
		Expect(fresh.export()).To(Equal(backup))

		again := fresh.store.Revision()
		Expect(fresh.Import(ctx, strings.NewReader(backup), "first")).To(Equal(requester.ImportResult{Declared: 8}))
		Expect(fresh.store.Revision()).To(Equal(again))
	})

	It("restores a running deployment without removing a current version, and lists refused resources", func() {
		d := populated()
		backup := d.export()
		d.declare("portal/versions/forms@v2", `{"Source":"portal/forms/v2"}`)
		d.declare("portal/adapters/forms", `{"BaseModel":"base","Current":"v2"}`)
		before := d.store.Revision()
		other := strings.Replace(backup, "portal/forms/v1", "portal/forms/other", 1)
		imported, err := d.Import(ctx, strings.NewReader(other), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(imported.Declared).To(Equal(7))
		Expect(imported.Refused).To(HaveExactElements(ContainSubstring("portal/versions/forms@v1: 400 Invalid")))
		watching, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		history := &untilText{text: `"Current":"v1"`, reached: cancel}
		Expect(d.Watch(watching, "portal/adapters/forms", before, history)).To(Succeed())
		Expect(string(history.written)).To(ContainSubstring(history.text))
		Expect(string(history.written)).NotTo(ContainSubstring(`"Current":""`))
		_, err = d.Import(ctx, strings.NewReader("{}\n"), "")
		Expect(err).To(MatchError(ContainSubstring("line 1")))
	})
})

var _ = Describe("The control group", func() {
	It("is returned, and invalid changes are refused with their reason", func() {
		d := newDeployment()
		Eventually(func() ([]distributor.GroupHost, error) {
			g, err := d.Group(context.Background())
			return g.Hosts, err
		}, 10*time.Second).Should(HaveExactElements(HaveField("ID", uint64(1))))
		_, err := d.RemoveHost(context.Background(), 99)
		var refused *requester.GroupRefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Reason).To(ContainSubstring("not a member"))
		Expect(refused.Accepted).To(Equal("No"))
		_, err = d.RemoveHost(context.Background(), 0)
		Expect(err).To(MatchError("400: a host's id is a number above 0 (accepted: No)"))
	})
})
