// Package announcer implements the protocol by which a backend server announces itself to
// its companion: a POST request for Path at the operators' listener of the companion, with
// an Announcement as JSON body, answered with an Answer as JSON.
//
//   - 200, ReasonAccepted: the companion serves this backend server, because of this
//     announcement, an earlier one or its settings.
//   - 400, ReasonMalformed: the announcement is invalid; Field is the name of the field.
//   - 409, ReasonConflict: the announcement contradicts the settings, or the companion
//     already serves another backend server.
//   - 503, ReasonUnavailable: the process is stopping. The announcement may be valid.
//
// Parsing is strict: field names are case-sensitive, each may occur only once, and unknown
// fields and null are refused. A backend server announces itself periodically, since a
// companion that restarts has no record of earlier announcements.
package announcer
