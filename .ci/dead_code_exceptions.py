"""Names that ``make lint`` does not take for dead code, each with the reason.

Read by vulture and never run. A name stands here because it is read where vulture doesn't look,
not because somebody may need it later. A name that no longer exists is harmless: remove it.
"""

# Called or read by a library.
_.__init_subclass__  # Python itself, for each command of the command line.
_._default_command  # cleo: a program of one command.
_._single_command  # cleo: a program of one command.
_.eof_received  # asyncio.Protocol: the other side sends no more.
_.pause_writing  # asyncio.Protocol: the socket takes no more.
_.resume_writing  # asyncio.Protocol: the socket takes more again.
_.get_buffer  # asyncio.BufferedProtocol: where the next read goes.
_.buffer_updated  # asyncio.BufferedProtocol: bytes were read.
sizehint  # Parameter of get_buffer, given by its position.
_.send_400_response  # uvicorn's HTTP protocol.
msg  # Parameter of send_400_response.
_.flow  # uvicorn's HTTP protocol.
_.disconnected  # uvicorn's request.
_.start_tls  # httpcore's network stream; TLS is refused.
ssl_context  # Parameter of start_tls, given by its name.
server_hostname  # Parameter of start_tls, given by its name.
_.timeout_keep_alive  # uvicorn's HTTP protocol.
_.timeout_keep_alive_task  # uvicorn's HTTP protocol.
_.timeout_graceful_shutdown  # uvicorn's configuration.
_.should_exit  # uvicorn's server.
_.main_loop  # uvicorn's server.
_.capture_signals  # uvicorn's server; signals are the daemon's own.
_.their_http_version  # h11: to a client of HTTP 1.0 it sends no chunks.
_.start_clock  # trio's clock.
_.deadline_to_sleep_time  # trio's clock.
_._ALLOW_DETERMINISTIC_SCHEDULING  # trio: the order of tasks follows from the seed.

# Fields that go out whole, in JSON or in a message; others read them.
_.completion_tokens  # Usage in the answer of POST /v1/chat/completions.
_.calls_in_flight  # GET /v1/status, and "passlane drain --output json".
_.passed  # JSON output of "sim run", "bench run", "trace replay" and "soak".
_.reserved_tokens  # Message BudgetSpent; its form is sent between processes.
_.is_sticky  # Message Route; its form is stored with each configuration.
_.p95  # Quantile in the results of the fleet's load.
_.completed  # Result of the fleet's load.
_.doubled_operations  # Result of the fleet's load.
_.lost_histories  # Result of the fleet's load.
_.ledger_lines  # Result of the fleet's load.
_.program_latency  # Result of the fleet's load.
_.call_latency  # Result of the fleet's load.
_.first_token  # Result of the fleet's load.
_.token_gap  # Result of the fleet's load.

# Facts that the policies of operators read by name, as attributes of their argument.
_.asked_tokens  # budget(program)
_.asked_calls  # budget(program)
_.asked_money_micros  # budget(program)

# Compared by position, as parts of one rank: the first difference decides.
_.is_not_assigned  # PlacementRank
_.is_elsewhere  # PlacementRank
_.fullness  # PlacementRank
_.negative_score  # PlacementRank

# Members of enumerations that are drawn from the whole class.
_.KILL_NODE  # DisturbanceKind
_.FREEZE_NODE  # DisturbanceKind
_.RESTART_NODE  # DisturbanceKind
_.KILL_STORE  # DisturbanceKind
_.FREEZE_STORE  # DisturbanceKind
_.RESTART_STORE  # DisturbanceKind
_.KILL_ENGINE  # DisturbanceKind
_.FREEZE_ENGINE  # DisturbanceKind
_.TRANSIENT  # RestartRule, of which no child is now; the recorded forms hold the three rules.

# Started by the name that the registry of experiments holds.
run_music_house  # "bench run"
run_top_up  # "bench run"

# Tests hold a promise by it.
_.starvation_bound_s  # No younger call of a tenant and class goes ahead after it.
_.active_tenants  # Tenants that use nothing share nothing.
_.running_calls  # Recorded decisions of the scheduler of calls.
_.tracked_tenants  # A node's memory of tenants is bounded.
_.breaks  # The promise by which each seeded defect of the Raft group must be found.
_.within_seeds  # Within how many seeds it must be found.
_.node_files  # Calls are recorded on a node's disk as they were made.
_.runs_by_operation  # An application runs no operation twice that must run once.

# Decoded to be checked: an entry without it, or with one of another type, is of another writer.
_.cold_left_ms  # platform.list_format

# Written into the report of a soak, for whoever traces a finding.
_.full_sets  # SoakReport
_.fault_times  # SoakReport
_.served  # FullSet
_.begun_at_s  # Run
_.began_at_s  # FaultTime
_.ended_at_s  # FaultTime
_.asked_at_s  # FullSetTurn
