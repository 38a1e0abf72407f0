// Package operator serves the operators' HTTP API of an instance.
//
// Every request needs the operators' token. A refusal is a JSON object {"code", "outcome", "after", "error", "path"}:
// code is one stable word, outcome is "ran", "not run" or "unknown", after is a retry delay in milliseconds, and path
// is the wrong field of a note. A refused note also has "fields", one entry for each wrong field, and a lost race
// "epoch", the epoch that won.
//
//	POST /notes          propose a release note; a note that was accepted before returns its epoch again
//	POST /plan           list the changes of a note and whether they are feasible
//	GET  /history        accepted notes, newest first
//	GET  /status         the fleet at a glance
//	GET  /dump           state of this instance, without secrets
//	GET  /configuration  configuration in force, without the digests of keys
//	GET  /lookup         ?service=&organisation=&address=: the look-up response that a caller would get;
//	                     without an organisation, that of a caller without a key; "expires" is a time here
//	GET  /metrics        metrics of this instance
//	POST /stop           start a planned stop
package operator
