package storer

import (
	"bytes"
	"encoding/json"
	"testing"
)

// FuzzApply applies possibly damaged log entries to a store: it must not panic, and
// its state must be the same after a snapshot is restored.
func FuzzApply(f *testing.F) {
	for _, c := range []Command{
		put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance"}),
		put(KindKey, "desk", KeySpec{Hash: "00"}),
		remove(KindAdapter, "title"),
		ClaimCall{Workspace: "savannah", Key: "k", Holder: "h"},
		SettleClaim{Workspace: "savannah", Key: "k", Holder: "h", State: ClaimStateDone},
		JoinMember{Name: "engine-1", Member: MemberSpec{Address: "127.0.0.1:1", Incarnation: "i"}},
		LeaveMember{Name: "engine-1", Epoch: 1},
		ExpireMembers{Members: []MemberEpoch{{Name: "engine-1", Epoch: 1}}},
		SetRetention{Retention: Retention{MaxRecords: 1}},
		countEnd(1, false),
		ClearSuspects{Names: []string{suspectName}},
		ClearSuspects{Names: []string{suspectName}, Released: true},
		ReviewSuspects{Suspects: []SuspectRevision{{Name: suspectName, Revision: 1}}},
	} {
		data, err := Encode(Envelope{Time: 1, IdempotencyKey: "k", Command: c})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewStore(Settings{})
		s.Apply(1, data)
		s.Apply(2, data)
		var b, again bytes.Buffer
		if err := s.Snapshot(&b); err != nil {
			t.Fatal(err)
		}
		other := NewStore(Settings{})
		if err := other.Restore(bytes.NewReader(b.Bytes()), 2); err != nil {
			t.Fatal(err)
		}
		if err := other.Snapshot(&again); err != nil || !bytes.Equal(b.Bytes(), again.Bytes()) {
			t.Fatal("the snapshot of a restored state differs")
		}
	})
}

// FuzzRestore restores possibly damaged snapshots.
func FuzzRestore(f *testing.F) {
	var b bytes.Buffer
	if err := NewStore(Settings{}).Snapshot(&b); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = NewStore(Settings{}).Restore(bytes.NewReader(data), 1<<63)
	})
}

// FuzzResourceJSON checks that a decoded resource is the same after it is encoded and
// decoded again.
func FuzzResourceJSON(f *testing.F) {
	f.Add([]byte(`{"Kind":"Adapter","Metadata":{"Workspace":"w","Name":"a"},"Spec":{"BaseModel":"m"}}`))
	f.Add([]byte(`{"Kind":"Member","Spec":{"Kind":"Service","State":"Leaving"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r, back Resource
		if json.Unmarshal(data, &r) != nil {
			return
		}
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(text, &back); err != nil || !equalSpecs(r.Spec, back.Spec) {
			t.Fatalf("%s was decoded as %v, %v", text, back, err)
		}
	})
}
