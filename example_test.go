package marigoldpoint_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"marigoldpoint.example/marigoldpoint"
)

// noon is the start time of the examples.
var noon = time.Date(2026, time.March, 2, 12, 0, 0, 0, time.UTC)

func ExampleRouter() {
	r := marigoldpoint.NewRouter(marigoldpoint.RouterSettings{Seed: 1})
	if err := r.SetMembers([]marigoldpoint.Member{
		{Name: "engine-1", Spec: marigoldpoint.MemberSpec{Kind: marigoldpoint.MemberKindEngine, BaseModel: "base", Slots: 4, MaxBatch: 16, Epoch: 7}},
		{Name: "engine-2", Spec: marigoldpoint.MemberSpec{Kind: marigoldpoint.MemberKindEngine, BaseModel: "base", Slots: 4, MaxBatch: 16, Epoch: 8}},
	}); err != nil {
		fmt.Println(err)
		return
	}
	r.Digest(noon, "engine-2", 8, []string{"portal/lookup@v1"})

	call := marigoldpoint.RoutedCall{
		Pool:    marigoldpoint.RoutingPool{Kind: marigoldpoint.MemberKindEngine, Name: "base"},
		Version: "portal/lookup@v1",
	}
	var d marigoldpoint.RoutingDecision
	if err := r.Choose(noon, &call, &d); err != nil {
		fmt.Println(err)
		return
	}
	r.RecordAnswerStart(noon, &d)
	fmt.Println(d.Backend, d.Cold)
	r.Finish(noon.Add(time.Second), &d, marigoldpoint.RoutingEnding{})
	// Output: engine-2 false
}

func ExampleSlotTable() {
	t := marigoldpoint.NewSlotTable(marigoldpoint.SlotSettings{Slots: 1}, 7, rand.New(rand.NewPCG(1, 2)))
	want := marigoldpoint.SlotWant{Request: "r1", Workspace: "portal", Version: "portal/lookup@v1"}
	for _, a := range t.Want(noon, want) {
		fmt.Printf("%T\n", a)
	}
	for _, a := range t.Permitted(noon, "portal/lookup@v1") {
		fmt.Printf("%T\n", a)
	}
	// Output:
	// loader.PermitAction
	// loader.LoadAction
}

func ExamplePermitTable() {
	t := marigoldpoint.NewPermitTable(marigoldpoint.PermitSettings{Rate: 4}, 3, noon, nil)
	later := noon.Add(time.Minute) // A new leader grants nothing until its predecessor's permits have expired.
	t.Request(later, marigoldpoint.PermitRequest{Companion: "engine-1", Workspace: "portal", Version: "portal/a@v1", Waiters: 1})
	t.Request(later, marigoldpoint.PermitRequest{Companion: "engine-2", Workspace: "portal", Version: "portal/b@v1", Waiters: 5})

	for _, g := range t.Grant(later) {
		fmt.Println(g.Companion, g.Version)
		t.Finish(later, marigoldpoint.PermitFinish{Number: g.Number, Companion: g.Companion, Version: g.Version})
	}
	// Output: engine-2 portal/b@v1
}

func ExampleLimiter() {
	l := marigoldpoint.NewLimiter(marigoldpoint.LimiterSettings{MaxInFlight: 1}, rand.New(rand.NewPCG(1, 2)))
	call := marigoldpoint.LimitedCall{Workspace: "portal", Share: 1, Tokens: 100}
	fmt.Println(l.Admit(noon, call).Verdict)
	fmt.Println(l.Admit(noon, call).Verdict)
	// Output:
	// Admitted
	// EntryLimit
}
