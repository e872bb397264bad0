package storer

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestPropertyDepartureHolds delivers messages of backend servers with delays, repeatedly
// and in any order, while leases expire and a replica is restored from snapshots. It guards
// against requests to a backend server whose leave or end was acknowledged.
func TestPropertyDepartureHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewStore(Settings{}), NewStore(Settings{})
		type server struct {
			incarnation, instance, address string
			started, sequence              uint64
			state                          MemberState
			sent                           []Command
		}
		// The last two are incarnations of one backend server that restarts at another address.
		servers := []*server{
			{incarnation: "i-1", instance: "i-1", address: "x"},
			{incarnation: "i-2", instance: "i-2", address: "x"},
			{incarnation: "i-3 1", instance: "i-3", address: "x", started: 1},
			{incarnation: "i-3 2", instance: "i-3", address: "y", started: 2},
		}
		departed := map[string]bool{}
		// announced holds the incarnations that have been announced, by backend server.
		announced := map[string][]string{}
		var index uint64
		apply := func(c Command) {
			index++
			data, err := Encode(Envelope{Time: Instant(index), Command: c})
			if err != nil {
				t.Fatal(err)
			}
			a.Apply(index, data)
			b.Apply(index, data)
			switch c := c.(type) {
			case AnnounceMember:
				departed[c.Member.Incarnation] = departed[c.Member.Incarnation] || c.Member.State == MemberStateLeaving
				if c.Member.State == MemberStateServing {
					announced[c.Member.Instance] = append(announced[c.Member.Instance], c.Member.Incarnation)
				}
			case RetireMember:
				departed[c.Incarnation] = true
				if c.Instance == "" {
					return
				}
				for _, incarnation := range announced[c.Instance] {
					departed[incarnation] = true
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s := servers[rapid.IntRange(0, len(servers)-1).Draw(t, "server")]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				s.state = MemberStateLeaving
			case 1:
				s.sent = append(s.sent, RetireMember{Incarnation: s.incarnation})
			case 7:
				apply(RetireMember{Incarnation: s.instance, Instance: s.instance})
			case 2, 3:
				s.sequence++
				s.sent = append(s.sent, AnnounceMember{Name: s.address, Member: MemberSpec{
					Address: s.address, Service: "s", Incarnation: s.incarnation, Instance: s.instance, Born: s.started,
					Sequence: s.sequence, State: s.state,
				}})
			case 4, 5:
				if len(s.sent) > 0 {
					apply(s.sent[rapid.IntRange(0, len(s.sent)-1).Draw(t, "message")])
				}
			default:
				if r, ok := a.Get(Key{Kind: KindMember, Name: s.address}); ok {
					apply(ExpireMembers{Members: []MemberEpoch{{Name: s.address, Epoch: r.Spec.(MemberSpec).Epoch}}})
				}
				b = NewStore(Settings{})
				if err := b.Restore(bytes.NewReader(snapshotOf(t, a)), index); err != nil {
					t.Fatal(err)
				}
			}
			members, _ := b.List(KindMember, "")
			for _, r := range members {
				if m := r.Spec.(MemberSpec); departed[m.Incarnation] && m.State == MemberStateServing {
					t.Fatalf("incarnation %s serves after its leave or end: %+v", m.Incarnation, m)
				}
			}
			if !bytes.Equal(snapshotOf(t, a), snapshotOf(t, b)) {
				t.Fatal("equal states have different snapshots")
			}
		}
	})
}
