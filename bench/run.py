#!/usr/bin/env python3
"""Measures a complete deployment on loopback against the targets of docs/design.md, section 1.2.

Sections
  1. deployments and engine rates
  2. throughput bound
  3. one surge
  4. targets
  5. latency added by router and agent
  6. resource cost per endpoint, account, record, request and output token
  7. command line
"""

import argparse
import datetime
import json
import math
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import MODEL, BenchError, Fleet, host_cpu  # noqa: E402
from tcp_bytes import tcp_bytes  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# ----------------------------------------------------------------------------------------------------------------------
# 1. deployments and engine rates
# ----------------------------------------------------------------------------------------------------------------------

# The prefill of the longest prompt (24,000 tokens) takes 0.8 s of the 1.3 s target. A decode engine with all 20 slots
# occupied takes 50 ms per token. The KV cache is small enough that transfers use about half of a link when the load is
# at the bound. The rates must keep the fleet below half of a 12-core host.
RATES = {"prefill_tokens_per_s": 30000, "decode_slots": 20, "decode_base_ms": 20, "decode_slope_ms": 1.5,
         "link_bytes_per_s": 1.25e9, "kv_bytes_per_token": 8192, "kv_lifetime_ms": 900}
PROMPT_TOKENS = (1000, 24000)
OUTPUT_TOKENS = (16, 64)

# Number of endpoints per role, by the pool that is the bottleneck.
DEPLOYMENTS = {
    "nastavnik": {"pool": "savetnik-llm", "service": "kurs-app", "path": "/kurs", "routers": 3, "rates": RATES,
                  "zones": ["sofia-a", "sofia-b", "sofia-c"],
                  "roles": {"prefill": {"prefill": 12, "decode": 6, "service": 3},
                            "decode": {"prefill": 15, "decode": 3, "service": 3}}},
    "waikato": {"pool": "logreader", "service": "pitdesk", "path": "/pitdesk", "routers": 3, "rates": RATES,
                "zones": ["hall-north", "hall-kiln", "hall-south"],
                "roles": {"prefill": {"prefill": 7, "decode": 5, "service": 3},
                          "decode": {"prefill": 10, "decode": 2, "service": 3}}},
}
MODES = ["full", "round_robin", "least_load"]
FAULTS = ["endpoints", "router", "store", "zone"]
SERVICE_SHARE = 0.1
SURGE_FACTOR = 1.5
PLATEAU_SHARE = 0.75  # plateau of persimmon-load's surge, relative to its duration
SLOW_LINK_MS = 40
RECOVERY_S = 3  # after a fault, before goodput is measured


# ----------------------------------------------------------------------------------------------------------------------
# 2. throughput bound
# ----------------------------------------------------------------------------------------------------------------------


def log_uniform_mean(low, high):
    return (high - low) / math.log(high / low)


def capacity(roles):
    """Returns the requests/s and tokens/s that each pool can serve at the configured rates."""
    prefill_tokens = roles["prefill"] * RATES["prefill_tokens_per_s"]
    step_s = (RATES["decode_base_ms"] + RATES["decode_slope_ms"] * RATES["decode_slots"]) / 1e3
    decode_tokens = roles["decode"] * RATES["decode_slots"] / step_s
    mean_prompt, mean_output = log_uniform_mean(*PROMPT_TOKENS), log_uniform_mean(*OUTPUT_TOKENS)
    return {"prefill_tokens_per_s": prefill_tokens, "decode_tokens_per_s": decode_tokens,
            "prefill_requests_per_s": prefill_tokens / mean_prompt,
            "decode_requests_per_s": decode_tokens / mean_output}


def bound(roles, slower, offered_prompt, offered_output):
    """Returns the work (prompt and output tokens) per second if the bottleneck pool is always busy.

    The ratio of prompt to output tokens is that of the offered load.
    """
    rates = capacity(roles)
    if slower == "prefill":
        return rates["prefill_tokens_per_s"] * (1 + offered_output / offered_prompt)
    return rates["decode_tokens_per_s"] * (1 + offered_prompt / offered_output)


# ----------------------------------------------------------------------------------------------------------------------
# 3. one surge
# ----------------------------------------------------------------------------------------------------------------------


def inject_fault(fleet, fault, killed_states):
    if fault == "endpoints":
        killed_states.update(fleet.engine_states())
        fleet.kill_endpoint(fleet.endpoints_with_role("prefill")[0])
        fleet.kill_endpoint(fleet.endpoints_with_role("decode")[0])
    elif fault == "router":
        fleet.routers[1].kill()
    elif fault == "store":
        fleet.set_outage(True)
    elif fault == "zone":
        fleet.set_link_delay(SLOW_LINK_MS)


def sum_state(states, field):
    return sum(state.get(field, 0) for state in states.values())


def window_work(report, begin, end):
    """Returns the goodput in tokens/s: prompt and output tokens answered in time, for requests that arrived from second
    begin up to end."""
    seconds = report["seconds"][int(math.ceil(begin)):int(end)]
    total = sum(second["prompt_tokens_in_time"] + second["output_tokens_in_time"] for second in seconds)
    return total / max(1, len(seconds))


def run_surge(args, name, slower, mode, fault=None):
    deployment = DEPLOYMENTS[name]
    roles = dict(deployment["roles"][slower])
    rates = capacity(roles)
    model_rate = min(rates["prefill_requests_per_s"], rates["decode_requests_per_s"])
    duration = args.seconds / PLATEAU_SHARE
    ramp = (duration - args.seconds) / 2
    slow_zone = deployment["zones"][1] if fault == "zone" else None
    with Fleet(args.build, deployment, roles, mode, slow_zone=slow_zone, keep=args.keep) as fleet:
        report_path = os.path.join(fleet.folder, "load.json")
        plot = os.path.join(args.results, f"{name}-{slower}-{mode}{'-' + fault if fault else ''}.svg")
        services = ",".join(endpoint.target for endpoint in fleet.endpoints_with_role("service"))
        started = time.monotonic()
        load = fleet.start_load(
            "--profile", "surge", "--rate", str(model_rate / (1 - SERVICE_SHARE)), "--surge_factor", str(SURGE_FACTOR),
            "--duration_s", str(duration), "--model", MODEL, "--prompt_tokens", "%d-%d" % PROMPT_TOKENS,
            "--max_tokens", "%d-%d" % OUTPUT_TOKENS, "--service_path", deployment["path"], "--service_share",
            str(SERVICE_SHARE), "--service_hosts", services, "--leave_share", str(args.leave_share), "--return_share",
            str(args.return_share), "--seed", str(args.seed), "--timeout_s", "20", "--plot", plot,
            json_path=report_path)
        # The store is unavailable for the whole plateau. Other faults are injected after a third of it.
        fault_at = ramp + (0 if fault == "store" else args.seconds / 3)
        killed_states = {}
        cpu_begin = router_begin = None
        plateau_end = started + ramp + args.seconds
        busy_peak = 0
        while load.is_running():
            now = time.monotonic()
            if cpu_begin is None and now >= started + ramp:
                cpu_begin = host_cpu()
                router_begin = [process.cpu_seconds() if process.is_running() else 0 for process in fleet.routers]
            if fault and fault_at is not None and now >= started + fault_at:
                inject_fault(fleet, fault, killed_states)
                fault_at = None
            if cpu_begin and plateau_end and now >= plateau_end:
                cpu_end = host_cpu()
                router_cpu = [process.cpu_seconds() - begin
                              for process, begin in zip(fleet.routers, router_begin) if process.is_running()]
                router_rss = [process.rss_mb() for process in fleet.routers if process.is_running()]
                load_cpu = load.cpu_seconds()
                plateau_end = None
            if now > started + duration + 120:
                raise BenchError("persimmon-load does not exit")
            time.sleep(0.05)
        if not os.path.exists(report_path):
            with open(load.log) as log:
                raise BenchError("persimmon-load wrote no report:\n" + log.read()[-2000:])
        with open(report_path) as file:
            report = json.load(file)
        time.sleep(1.5)  # until evictions and cancellations are complete
        states = {**{key: value for key, value in killed_states.items()}, **fleet.engine_states()}
        exited = [process for process in fleet.exited_processes() if process != "load"]
    plateau = report["plateau"]
    offered_prompt, offered_output = plateau["offered_prompt_tokens"], plateau["offered_output_tokens"]
    work = (plateau["prompt_tokens_in_time"] + plateau["output_tokens_in_time"]) / plateau["seconds"]
    limit = bound(roles, slower, offered_prompt, offered_output)
    total = sum_state(states, "prefill_tokens_total")
    result = {
        "deployment": name, "slower": slower, "mode": mode, "fault": fault, "seconds": args.seconds, "roles": roles,
        "seed": args.seed, "leave_share": args.leave_share, "return_share": args.return_share, "rates": RATES,
        "capacity": rates, "bound_work_per_s": limit, "goodput_work_per_s": work, "goodput_of_bound": work / limit,
        "wasted_prefill": 1 - sum_state(states, "prefill_tokens_used") / total if total else 0,
        "prefill_tokens_total": total, "memory_held_after": sum_state(states, "memory_held"),
        "share_in_time": report["share_in_time"], "longest_quarter_in_time": report["longest_quarter_in_time"],
        "host_cpu": (cpu_end[0] - cpu_begin[0]) / max(1, cpu_end[1] - cpu_begin[1]),
        "router_cpu": [seconds / args.seconds for seconds in router_cpu], "router_rss_mb": router_rss,
        "load_cpu_s": load_cpu, "dead_processes": exited, "load": report,
    }
    if fault:
        # An outage of the store starts with the plateau, other faults after a third of it. Goodput is measured from a
        # few seconds later.
        begin = ramp + (0 if fault == "store" else args.seconds / 3) + RECOVERY_S
        remaining = dict(roles)
        if fault == "endpoints":
            remaining["prefill"] -= 1
            remaining["decode"] -= 1
        remaining_bound = bound(remaining, slower, offered_prompt, offered_output)
        result["remaining_bound_work_per_s"] = remaining_bound
        result["goodput_after_fault_of_bound"] = window_work(report, begin, ramp + args.seconds) / remaining_bound
    return result


# ----------------------------------------------------------------------------------------------------------------------
# 4. targets
# ----------------------------------------------------------------------------------------------------------------------


def check(text, met):
    print(f"  {text:<92} {'met' if met else 'missed'}")
    return {"target": text, "met": bool(met)}


def in_time_share(load, field):
    streamed = load["answered"] and load["first_token_s"]["max"] > 0
    return load[field] / max(1, load["streamed"]) if streamed else 0


def evaluate_targets(result, round_robin):
    load = result["load"]
    answered = load["all"]["in_time"]
    rows = []
    rows.append(check(f"goodput {100 * result['goodput_of_bound']:.1f}% of the bound (target 95%)",
                      result["goodput_of_bound"] >= 0.95))
    # A baseline that answers nothing in time is broken, so a comparison with it would be meaningless.
    if round_robin and round_robin["goodput_work_per_s"] < 1:
        rows.append(check("round robin answered nothing in time: no valid baseline", False))
    elif round_robin:
        factor = result["goodput_work_per_s"] / max(1, round_robin["goodput_work_per_s"])
        rows.append(check(f"goodput {factor:.2f} times round robin (target 2)", factor >= 2))
        rows.append(check(f"wasted prefill {100 * result['wasted_prefill']:.3f}% against "
                          f"{100 * round_robin['wasted_prefill']:.2f}% of round robin (target: a tenth of that)",
                          result["wasted_prefill"] <= round_robin["wasted_prefill"] / 10))
    share, longest = result["share_in_time"], result["longest_quarter_in_time"]
    rows.append(check(f"in time: longest quarter of prompts {100 * longest:.1f}%, all {100 * share:.1f}% "
                      "(target 80% of all)",
                      longest >= 0.8 * share))
    waste_target = 0.01 if result["leave_share"] > 0 else 0.001
    rows.append(check(f"wasted prefill {100 * result['wasted_prefill']:.3f}% (target {100 * waste_target:g}%, "
                      f"{'some callers disconnect' if result['leave_share'] > 0 else 'no caller disconnects'})",
                      result["wasted_prefill"] <= waste_target))
    print(f"  refusals p50 {1e3 * load['refusal_s']['p50']:.1f} p99 {1e3 * load['refusal_s']['p99']:.1f} ms after the "
          "request; the target of 50 ms counts from the router's decision, which a caller cannot observe")
    rows.append(check(f"lost {load['lost']}, doubled {load['doubled']}, wrong {load['wrong']} (target 0)",
                      load["lost"] + load["doubled"] + load["wrong"] == 0))
    rows.append(check(f"first token in time {100 * in_time_share(load, 'first_token_in_time'):.2f}%, interval "
                      f"{100 * in_time_share(load, 'interval_in_time'):.2f}% of {answered} answers (target 95%)",
                      min(in_time_share(load, "first_token_in_time"), in_time_share(load, "interval_in_time")) >= 0.95))
    if result["fault"]:
        after_fault = result["goodput_after_fault_of_bound"]
        rows.append(check(f"goodput after the fault {100 * after_fault:.1f}% of the remaining bound (target 90%)",
                          after_fault >= 0.9))
    return rows


def print_summary(result):
    load = result["load"]
    fault = f", fault {result['fault']}" if result["fault"] else ""
    print(f"{result['deployment']}, bottleneck {result['slower']} ({result['roles']['prefill']} prefill, "
          f"{result['roles']['decode']} decode), mode {result['mode']}{fault}, plateau {result['seconds']:g} s")
    print(f"  sent {load['sent']} answered {load['answered']} refused {load['refused']} {load['refusals']}, "
          f"disconnected {load['left']}, resent {load['resent']}")
    print(f"  goodput {result['goodput_work_per_s']:.0f} of {result['bound_work_per_s']:.0f} tokens/s; first token p50 "
          f"{1e3 * load['first_token_s']['p50']:.0f} p95 {1e3 * load['first_token_s']['p95']:.0f} ms; interval p95 "
          f"{1e3 * load['token_interval_s']['p95']:.1f} ms; service p50 {1e3 * load['service_s']['p50']:.2f} ms")
    routers = ", ".join(f"{100 * cpu:.0f}%" for cpu in result["router_cpu"])
    print(f"  host CPUs {100 * result['host_cpu']:.0f}% busy, routers {routers} of a core, exited: "
          f"{', '.join(result['dead_processes']) or 'none'}", flush=True)


def run_surges(args):
    results = []
    for name in args.deployment:
        for slower in args.slower:
            modes = {}
            for mode in args.mode:
                result = modes[mode] = run_surge(args, name, slower, mode)
                print_summary(result)
                results.append(result)
            if "full" in modes:
                modes["full"]["targets"] = evaluate_targets(modes["full"], modes.get("round_robin"))
            for fault in args.fault:
                result = run_surge(args, name, slower, "full", fault)
                print_summary(result)
                result["targets"] = evaluate_targets(result, None)
                results.append(result)
    return results


# ----------------------------------------------------------------------------------------------------------------------
# 5. latency added by router and agent
# ----------------------------------------------------------------------------------------------------------------------


def run_hop(args):
    deployment = DEPLOYMENTS["nastavnik"]
    rows = []
    with Fleet(args.build, deployment, {"prefill": 0, "decode": 0, "service": 3}) as fleet:
        services = [endpoint.target for endpoint in fleet.endpoints_with_role("service")]
        for kind, post_share in (("GET", 0), ("POST with key", 1)):
            figures = {}
            for route, targets in (("direct", services), ("router", fleet.router_http)):
                path = os.path.join(fleet.folder, f"hop-{route}-{post_share}.json")
                load = fleet.start_load("--rate", str(args.rate), "--duration_s", str(args.seconds), "--service_path",
                                        deployment["path"], "--post_share", str(post_share), "--seed", str(args.seed),
                                        json_path=path, targets=targets)
                while load.is_running():
                    time.sleep(0.1)
                with open(path) as file:
                    figures[route] = json.load(file)
            added = {key: 1e3 * (figures["router"]["service_s"][key] - figures["direct"]["service_s"][key])
                     for key in ("p50", "p99")}
            rows.append({"kind": kind, "added_ms": added, **figures})
            for route in ("direct", "router"):
                answer = figures[route]["service_s"]
                print(f"  {kind:<14} {route:<7} sent {figures[route]['sent']} answered {figures[route]['answered']} "
                      f"p50 {1e3 * answer['p50']:.3f} ms p99 {1e3 * answer['p99']:.3f} ms")
            if post_share == 0:
                check(f"{kind}: router and agent add {added['p50']:.3f} ms at the median (target 1 ms)",
                      added["p50"] <= 1)
                check(f"{kind}: router and agent add {added['p99']:.3f} ms at p99 (target 3 ms)", added["p99"] <= 3)
            else:
                print(f"  {kind}: adds {added['p50']:.3f} ms at the median, {added['p99']:.3f} ms at p99, "
                      "including the claim of its key")
    return {"rate": args.rate, "seconds": args.seconds, "rows": rows}


# ----------------------------------------------------------------------------------------------------------------------
# 6. resource cost per endpoint, account, record, request and output token
# ----------------------------------------------------------------------------------------------------------------------


def fit_line(points):
    """Fits a line by least squares. Returns the value at 0 and the slope."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares if sum_squares else 0
    return mean_y - slope * mean_x, slope


def measure_processes(fleet, seconds):
    routers = fleet.routers
    agents = [endpoint.agent for endpoint in fleet.endpoints]
    pids = [process.pid for process in routers + agents]
    before = [process.cpu_seconds() for process in routers + agents]
    bytes_before, begin = tcp_bytes(pids), time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - begin
    bytes_after = tcp_bytes(pids)
    traffic = [max(0, bytes_after[pid] - bytes_before[pid]) / elapsed for pid in pids]
    cpu = [(process.cpu_seconds() - start) / elapsed for process, start in zip(routers + agents, before)]
    rss = [process.rss_mb() for process in routers + agents]
    count = len(routers)
    return {"router_cpu": sum(cpu[:count]) / count, "router_rss_mb": sum(rss[:count]) / count,
            "agent_cpu": sum(cpu[count:]) / max(1, len(agents)), "agent_rss_mb": sum(rss[count:]) / max(1, len(agents)),
            "router_tcp_bytes_per_s": sum(traffic[:count]) / count,
            "agent_tcp_bytes_per_s": sum(traffic[count:]) / max(1, len(agents))}


def token_load(tokens):
    """Returns flags for 21 model requests/s whose answers all have this number of tokens: 21 * tokens per second."""
    return ["--rate", "21", "--model", MODEL, "--prompt_tokens", "100-100", "--max_tokens", f"{tokens}-{tokens}"]


def measure_size(args, roles, load_rate=0, load_flags=None, **sizes):
    with Fleet(args.build, DEPLOYMENTS["nastavnik"], roles, **sizes) as fleet:
        time.sleep(3)
        if load_rate:
            load_flags = ["--rate", str(load_rate), "--service_path", DEPLOYMENTS["nastavnik"]["path"], "--post_share", "0"]
        if load_flags:
            fleet.start_load(*load_flags, "--duration_s", str(args.seconds + 4),
                             json_path=os.path.join(fleet.folder, "slope.json"))
            time.sleep(2)
        figures = measure_processes(fleet, args.seconds)
        figures["processes"] = len(fleet.routers) + len(fleet.endpoints)
    return figures


def run_slopes(args):
    base = {"prefill": 4, "decode": 2, "service": 1}
    plans = {
        "endpoints": [(count, lambda count=count: measure_size(args, {"prefill": count - 2, "decode": 1, "service": 1}))
                      for count in (6, 15, 30)],
        "accounts": [(count, lambda count=count: measure_size(args, base, accounts=count)) for count in (1, 1000, 4000)],
        "records": [(count, lambda count=count: measure_size(args, base, extra_records=count))
                    for count in (0, 1000, 4000)],
        "requests_per_s": [(rate, lambda rate=rate: measure_size(args, base, load_rate=rate)) for rate in (0, 100, 200, 400)],
        "output_tokens_per_s": [(21 * tokens, lambda tokens=tokens: measure_size(
            args, {"prefill": 4, "decode": 8, "service": 1}, load_flags=token_load(tokens))) for tokens in (10, 40, 80)],
    }
    out = {}
    for name, plan in plans.items():
        points = []
        for size, measure in plan:
            points.append({"size": size, **measure()})
            point = points[-1]
            print(f"  {name:<15} {size:>6}  router {100 * point['router_cpu']:.2f}% of a core {point['router_rss_mb']:.1f}"
                  f" MB {point['router_tcp_bytes_per_s'] / 1e3:.2f} kB/s, agent {100 * point['agent_cpu']:.2f}% "
                  f"{point['agent_rss_mb']:.1f} MB {point['agent_tcp_bytes_per_s'] / 1e3:.2f} kB/s (TCP, both "
                  "directions)", flush=True)
        slopes = {}
        for field in ("router_cpu", "router_rss_mb", "agent_cpu", "agent_rss_mb", "router_tcp_bytes_per_s",
                      "agent_tcp_bytes_per_s"):
            at_zero, slope = fit_line([(point["size"], point[field]) for point in points])
            slopes[field] = {"at_zero": at_zero, "per_unit": slope}
        out[name] = {"points": points, "slopes": slopes}
        print(f"  {name:<15} slopes: router {slopes['router_cpu']['per_unit']:.3g} cores and "
              f"{slopes['router_rss_mb']['per_unit']:.3g} MB, agent {slopes['agent_cpu']['per_unit']:.3g} cores and "
              f"{slopes['agent_rss_mb']['per_unit']:.3g} MB per unit", flush=True)
    return {"seconds": args.seconds, "sizes": out}


# ----------------------------------------------------------------------------------------------------------------------
# 7. command line
# ----------------------------------------------------------------------------------------------------------------------


def read_arguments():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--build", default="build", help="build folder")
    parser.add_argument("--results", default=os.path.join(ROOT, "bench", "results"), help="folder for JSON and plots")
    parser.add_argument("--deployment", action="append", choices=list(DEPLOYMENTS), help="default: all")
    parser.add_argument("--slower", action="append", choices=["prefill", "decode"],
                        help="pool that is the bottleneck; default: both")
    parser.add_argument("--mode", action="append", choices=MODES, help="default: all")
    parser.add_argument("--fault", action="append", choices=FAULTS + ["none"], help="default: all; none: no fault runs")
    parser.add_argument("--seconds", type=float, default=60, help="plateau of a surge, or duration of one measurement")
    parser.add_argument("--leave_share", type=float, default=0,
                        help="fraction of callers that disconnect before their answer is complete")
    parser.add_argument("--return_share", type=float, default=0, help="fraction of refused callers that retry once")
    parser.add_argument("--seed", type=int, default=20261203)
    parser.add_argument("--keep", action="store_true", help="keep the logs of surge runs")
    parser.add_argument("--hop", action="store_true", help="measure only the latency added by router and agent")
    parser.add_argument("--rate", type=float, default=200, help="--hop: calls/s")
    parser.add_argument("--slopes", action="store_true", help="measure only the slopes for docs/CAPACITY.md")
    args = parser.parse_args()
    args.deployment = args.deployment or list(DEPLOYMENTS)
    args.slower = args.slower or ["prefill", "decode"]
    args.mode = args.mode or MODES
    args.fault = FAULTS if args.fault is None else [fault for fault in args.fault if fault != "none"]
    return args


def main():
    args = read_arguments()
    os.makedirs(args.results, exist_ok=True)
    kind = "hop" if args.hop else "slopes" if args.slopes else "surge"
    try:
        results = run_hop(args) if args.hop else run_slopes(args) if args.slopes else run_surges(args)
    except BenchError as failure:
        print(f"bench: {failure}", file=sys.stderr)
        return 1
    stamp = datetime.datetime.now().strftime("%Y%m%d-%H%M%S")
    path = os.path.join(args.results, f"{kind}-{stamp}.json")
    with open(path, "w") as file:
        json.dump({"kind": kind, "time": stamp, "processors": os.cpu_count(), "results": results}, file, indent=1)
        file.write("\n")
    print(f"saved {os.path.relpath(path, ROOT)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
