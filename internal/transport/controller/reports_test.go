package controller

import (
	"reflect"
	"testing"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
)

// TestAnswerToAReport guards against a part of the leader's answer that does not reach the
// entries: without the ledger's number each report is taken for one of a former leader.
func TestAnswerToAReport(t *testing.T) {
	b := &reportBatch{answer: bucketer.Answer{
		Ledger: 3, Revision: 7, Entries: 5, Levels: []bucketer.Level{{Workspace: "a", Tokens: 1}, {Workspace: "b", Tokens: 2}},
	}}
	got := b.only(bucketer.Report{Uses: []bucketer.Use{{Workspace: "b"}}})
	want := bucketer.Answer{Ledger: 3, Revision: 7, Entries: 5, Levels: []bucketer.Level{{Workspace: "b", Tokens: 2}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}
