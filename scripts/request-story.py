#!/usr/bin/env python3
"""Prints the log lines about one request from several processes in chronological order.

Usage: request-story.py REQUEST_ID LOG...

Prints every line of the request, marked with an asterisk, and lines about the endpoints that it was sent to, from 10
seconds before its first line to its last. Text before the JSON object of a line, such as a host name, is printed too.
"""
import json
import sys

# Extra sends of the last 10 seconds, such as retries after an endpoint failure, count against the send budget (the
# window is in include/persimmon/send_budget.h), so endpoint events of that time can explain why a request was not
# retried.
CONTEXT_MS = 10_000
ENDPOINT_EVENTS = {"endpoint_entry", "endpoint_removed", "endpoint_paused", "endpoint_crashed", "health_changed"}


def read_lines(paths):
    for path in paths:
        with open(path, errors="replace") as file:
            for text in file:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue
                if isinstance(line, dict) and "t" in line and "event" in line:
                    yield line, text[:start].strip() or path


def main(arguments):
    if len(arguments) < 2:
        print(__doc__, file=sys.stderr)
        return 2
    request, paths = arguments[0], arguments[1:]
    lines = sorted(read_lines(paths), key=lambda item: item[0]["t"])
    request_lines = [line for line, _ in lines if line.get("request") == request]
    if not request_lines:
        print(f"no line about request {request} in {len(paths)} file(s)", file=sys.stderr)
        return 1
    first, last = request_lines[0]["t"], request_lines[-1]["t"]
    endpoints = set()
    for line in request_lines:
        endpoints.update(name for name in line.get("endpoints", "").split(",") if name)
        endpoints.update([line["endpoint"]] if "endpoint" in line else [])
    for line, source in lines:
        is_request_line = line.get("request") == request
        is_context = line["event"] in ENDPOINT_EVENTS and line.get("endpoint") in endpoints
        if is_request_line or (is_context and first - CONTEXT_MS <= line["t"] <= last):
            fields = {key: value for key, value in line.items() if key not in ("t", "part", "event", "request")}
            marker = "*" if is_request_line else " "
            print(f"{marker} {line['t'] - first:+7d} ms  {source}  {line['part']} {line['event']} {json.dumps(fields)}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
