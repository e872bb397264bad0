package announcer_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/announcer"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

const (
	engine        = `"Address":"127.0.0.1:8000","BaseModel":"m","Incarnation":"i"`
	service       = `"Address":"10.0.0.1:8000","Kind":"Service","Service":"s","Incarnation":"i"`
	noModel       = `"Address":"127.0.0.1:8000","Incarnation":"i"`
	addressPrefix = `"BaseModel":"m","Incarnation":"i","Address":`
)

var _ = DescribeTable("an invalid announcement is refused with the name of the field",
	func(body, field string) {
		_, err := announcer.Parse([]byte(body))
		var answer *announcer.Answer
		Expect(errors.As(err, &answer)).To(BeTrue())
		Expect(answer.Reason).To(Equal(announcer.ReasonMalformed))
		Expect(answer.Field).To(Equal(field), answer.Detail)
	},
	Entry("nothing", ``, ""),
	Entry("an array", `[]`, ""),
	Entry("truncated", `{`+engine, ""),
	Entry("truncated in a value", `{`+engine+`,"Slots":`, "Slots"),
	Entry("a name without value", `{"Slots"}`, "Slots"),
	Entry("trailing data", `{`+engine+`}{}`, ""),
	Entry("too long", `{`+engine+strings.Repeat(" ", announcer.MaxBytes)+`}`, ""),
	Entry("an unknown field", `{`+engine+`,"Port":1}`, "Port"),
	Entry("a field name in another case", `{`+engine+`,"slots":1}`, "slots"),
	Entry("a field twice", `{`+engine+`,"Address":"127.0.0.1:9000"}`, "Address"),
	Entry("null", `{`+engine+`,"Slots":null}`, "Slots"),
	Entry("another type", `{`+engine+`,"Slots":"4"}`, "Slots"),
	Entry("a fraction", `{`+engine+`,"Slots":1.5}`, "Slots"),
	Entry("an unknown kind", `{`+engine+`,"Kind":"Store"}`, "Kind"),
	Entry("a kind by number", `{`+engine+`,"Kind":1}`, "Kind"),
	Entry("no address", `{"BaseModel":"m","Incarnation":"i"}`, "Address"),
	Entry("a host name", `{`+addressPrefix+`"localhost:8000"}`, "Address"),
	Entry("an address not in canonical form", `{`+addressPrefix+`"127.0.0.1:08000"}`, "Address"),
	Entry("the unspecified address", `{`+addressPrefix+`"0.0.0.0:8000"}`, "Address"),
	Entry("a multicast address", `{`+addressPrefix+`"224.0.0.1:8000","ChecksFencing":true}`, "Address"),
	Entry("port 0", `{`+addressPrefix+`"127.0.0.1:0"}`, "Address"),
	Entry("not on the loopback without fencing", `{`+addressPrefix+`"10.0.0.1:8000"}`, "Address"),
	Entry("no base model", `{`+noModel+`}`, "BaseModel"),
	Entry("a long base model", `{`+noModel+`,"BaseModel":"`+strings.Repeat("m", 257)+`"}`, "BaseModel"),
	Entry("a control character", `{`+noModel+`,"BaseModel":"\n"}`, "BaseModel"),
	Entry("an engine with a service", `{`+engine+`,"Service":"s"}`, "Service"),
	Entry("negative slots", `{`+engine+`,"Slots":-1}`, "Slots"),
	Entry("too many slots", `{`+engine+`,"Slots":16777217}`, "Slots"),
	Entry("too large a batch", `{`+engine+`,"MaxBatch":16777217}`, "MaxBatch"),
	Entry("no incarnation", `{"Address":"127.0.0.1:8000","BaseModel":"m"}`, "Incarnation"),
	Entry("a service without name", `{"Address":"127.0.0.1:8000","Kind":"Service","Incarnation":"i"}`, "Service"),
	Entry("a service with a base model", `{`+service+`,"BaseModel":"m"}`, "BaseModel"),
	Entry("a service with slots", `{`+service+`,"Slots":1}`, "Slots"),
	Entry("a service with fencing", `{`+service+`,"ChecksFencing":true}`, "ChecksFencing"),
)

var _ = Describe("an announcement", func() {
	It("passes unchanged through client and handler, and its refusal is returned", func(ctx SpecContext) {
		var got announcer.Announcement
		var refusal error
		server := httptest.NewServer(announcer.NewHandler(func(a announcer.Announcement) error {
			got = a
			return refusal
		}))
		defer server.Close()
		client := announcer.Client{Companion: server.Listener.Addr().String(), HTTP: server.Client()}
		for _, a := range []announcer.Announcement{
			{Address: "10.0.0.1:8000", BaseModel: "m", Slots: 4, MaxBatch: 16, ChecksFencing: true, Incarnation: "i"},
			{Address: "10.0.0.1:8000", Kind: configurer.BackendKindService, Service: "s", Incarnation: "i"},
		} {
			Expect(client.Announce(ctx, a)).To(Succeed())
			Expect(got).To(Equal(a))
		}
		refusal = announcer.Conflict(announcer.FieldAddress, "taken")
		Expect(client.Announce(ctx, got)).To(Equal(refusal))
	})

	It("is answered with the status of the reason", func() {
		status := func(contentType, body string, accept error) int {
			r := httptest.NewRequest(http.MethodPost, announcer.Path, strings.NewReader(body))
			r.Header.Set("Content-Type", contentType)
			w := httptest.NewRecorder()
			announcer.NewHandler(func(announcer.Announcement) error { return accept }).ServeHTTP(w, r)
			return w.Code
		}
		Expect(status("application/json; charset=utf-8", `{`+engine+`}`, nil)).To(Equal(http.StatusOK))
		Expect(status("text/plain", `{`+engine+`}`, nil)).To(Equal(http.StatusBadRequest))
		Expect(status("application/json", strings.Repeat(" ", announcer.MaxBytes+1), nil)).To(Equal(http.StatusBadRequest))
		Expect(status("application/json", `{`+engine+`}`, announcer.Conflict("", ""))).To(Equal(http.StatusConflict))
		Expect(status("application/json", `{`+engine+`}`, http.ErrAbortHandler)).To(Equal(http.StatusServiceUnavailable))
	})
})
