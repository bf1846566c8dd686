"""Prints the spans of a request as a tree. Usage: print_trace.py FILE REQUEST_ID. The file contains OTLP JSON lines."""
import json
import sys


def read_spans(path):
    for line in open(path, encoding="utf-8"):
        for group in json.loads(line)["resourceSpans"]:
            process = group["resource"]["attributes"][0]["value"]["stringValue"]
            for scope in group["scopeSpans"]:
                for span in scope["spans"]:
                    attributes = {a["key"]: a["value"]["stringValue"] for a in span["attributes"]}
                    yield {**span, "process": process, "attributes": attributes}


def print_tree(span, children, origin, depth=0):
    start = (int(span["startTimeUnixNano"]) - origin) / 1e6
    duration_ms = (int(span["endTimeUnixNano"]) - int(span["startTimeUnixNano"])) / 1e6
    details = " ".join(f"{k}={v}" for k, v in span["attributes"].items())
    label = "  " * depth + span["name"]
    print(f"{label:<24}{span['process']:<14}{start:8.1f} ms +{duration_ms:8.1f} ms  {details}")
    for child in sorted(children.get(span["spanId"], []), key=lambda s: int(s["startTimeUnixNano"])):
        print_tree(child, children, origin, depth + 1)


def main():
    path, request = sys.argv[1:3]
    spans = list(read_spans(path))
    roots = [s for s in spans if s["attributes"].get("request_id") == request and not s["parentSpanId"]]
    if not roots:
        sys.exit(f"no trace of request {request} in {path}")
    children = {}
    for span in spans:
        if span["traceId"] == roots[0]["traceId"]:
            children.setdefault(span["parentSpanId"], []).append(span)
    print_tree(roots[0], children, int(roots[0]["startTimeUnixNano"]))


main()
