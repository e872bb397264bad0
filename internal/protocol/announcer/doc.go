// Package announcer is the protocol by which a backend server announces itself to
// the companion beside it: POST Path at the companion's operators' listener, with
// an Announcement as JSON, answered by an Answer as JSON.
//
//   - 200, ReasonAccepted: the companion stands beside this backend server, by this
//     announcement, an earlier one or its settings.
//   - 400, ReasonMalformed: the announcement can't be right; Field names the field.
//   - 409, ReasonConflict: it contradicts the settings, or the companion stands
//     beside another backend server already.
//   - 503, ReasonUnavailable: the process is ending. The announcement may be right.
//
// Parsing is strict: names in their own case, each once, none unknown, no null.
// A backend server announces itself again and again, since a companion that
// restarts knows nothing of what was announced to its predecessor.
package announcer
