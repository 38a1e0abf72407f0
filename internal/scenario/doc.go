// Package scenario runs the programs of this module as processes, controlled by the scripts in testdata.
//
// Besides the standard commands of testscript, scripts have these:
//
//	start NAME PROGRAM [ARG...]      run a program in the background until its log NAME.log has a line with "ready";
//	                                 PROGRAM is a command of this module or an absolute path
//	terminate NAME                   send SIGTERM, wait and check the exit status ("!" expects a failure)
//	crash NAME                       send SIGKILL and wait
//	freeze NAME, thaw NAME           send SIGSTOP or SIGCONT
//	unread NAME                      stop reading the output of a process, and fill its pipe
//	shut NAME                        close the pipe that reads the output of a process
//	log NAME                         print the log of a process
//	control PATH JSON                post to the control address of the stand-in
//	counts                           print the counts of the stand-in
//	request TARGET METHOD PATH [HEADER=VALUE...] [body=TEXT] [within=DURATION]
//	                                 print "status N", the Outcome header and the body; "!" expects no complete
//	                                 response
//	await [-within=DURATION] REGEXP COMMAND [ARG...]
//	                                 repeat log, control, counts or request until its output or error matches;
//	                                 "!" expects no match within the duration
//
//	fleet                            start the stand-in and seven instances, apply note.json and wait until all serve
//	                                 requests
//	load NAME SERVICE METHOD PATH RATE TARGET...
//	                                 send requests in the background, each with an idempotency key of its own
//	endload NAME                     end a load and print how many requests were sent, succeeded (ok), had no complete
//	                                 response (cut) and were refused
//	once MIN                         check that the upstreams ran at least MIN idempotency keys that start with "once",
//	                                 and each of them exactly once
//	crashes MAX                      check that requests with Test-Crash crashed at least one upstream and at most MAX
//
// The commands stop and kill are testscript's own: stop ends a script with success, so scripts here must not use it.
//
// After "!", a command must fail; an invalid call, such as one with an unknown name, fails the script even then.
//
// A target is an instance (its callers' address), an instance with ":operator", an upstream, "platform" or "control".
// Each script gets free ports, settings for the stand-in (standin.json) and for seven instances (NAME.json), and its
// addresses as environment variables such as CONTROL, PLATFORM, OSREDNJA_1, OSREDNJA_1_OPERATOR and PREGLED_1. A file
// "firm" that contains "cascadia" selects the larger example fleet; the default is "zadruga".
package scenario
