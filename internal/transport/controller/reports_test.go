package controller

import (
	"reflect"
	"testing"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
)

// TestAnswerFor guards against losing a part of the leader's answer on its way to the
// entries: without the ledger's number each report is attributed to a previous leader.
func TestAnswerFor(t *testing.T) {
	b := &reportBatch{answer: bucketer.Answer{
		Ledger: 3, Revision: 7, Entries: 5, Levels: []bucketer.Level{{Workspace: "a", Tokens: 1}, {Workspace: "b", Tokens: 2}},
	}}
	got := b.answerFor(bucketer.Report{Uses: []bucketer.Use{{Workspace: "b"}}})
	want := bucketer.Answer{Ledger: 3, Revision: 7, Entries: 5, Levels: []bucketer.Level{{Workspace: "b", Tokens: 2}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}
