// Package operator serves the operators' HTTP API of an instance.
//
// Every request must carry the operators' token. A refusal is a JSON object {"code", "outcome", "after", "error",
// "path"}: code is one stable word, outcome is "ran", "not run" or "unknown", after is a retry delay in milliseconds,
// and path is the first invalid field. A refusal of invalid or infeasible fields also has "fields", one entry for each
// of them, and a conflict has "epoch", the current epoch, which another note created.
//
//	POST /notes          propose a release note; a note that was accepted before returns its epoch again
//	POST /plan           list the changes of a note and whether they are feasible
//	GET  /history        accepted notes, newest first
//	GET  /status         summary of the fleet
//	GET  /dump           state of this instance, without secrets
//	GET  /configuration  configuration in force, without the digests of keys
//	GET  /lookup         ?service=&organisation=&address=: the look-up response that a caller would get;
//	                     without an organisation, that of a caller without a key; "expires" is a time here
//	GET  /metrics        metrics of this instance
//	POST /stop           start a planned stop
package operator
