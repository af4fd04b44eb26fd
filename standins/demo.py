"""Demo of writes and reads through several VMs, on stand-ins.

Run as ``python -m standins.demo [--serve]`` or by ``scripts/demo``.
"""

import argparse
import time

from standins import fleet


def print_answer(title, answer):
    """Print an answer below a title."""
    print(f"{title}\n    {answer.status} {answer.data}")


def run_demo(deployment):
    """Write and read through different VMs in one session."""
    north, south = "north-1", "south-1"
    answer = deployment.write(
        north, "ledger", "CREATE TABLE orders (id INTEGER, item TEXT)"
    )
    print_answer("north-1 creates a table", answer)
    answer = deployment.write(
        south,
        "ledger",
        "INSERT INTO orders VALUES (1, 'cold frame')",
        token=answer.session,
        idempotency_key="order-1",
    )
    print_answer("south-1 takes an order", answer)
    token = answer.session
    for name in deployment.vms:
        sql = "SELECT * FROM orders"
        answer = deployment.read(name, "ledger", sql, token=token)
        print_answer(f"{name} reads it in the same session", answer)
    deployment.keys["nobody"] = "wrong-key"
    answer = deployment.read(north, "ledger", "SELECT 1", "nobody")
    print_answer("a wrong key is refused", answer)


def main():
    """Run the demo; with ``--serve``, keep the deployment running."""
    parser = argparse.ArgumentParser(prog="standins.demo")
    parser.add_argument("--serve", action="store_true")
    keeps_running = parser.parse_args().serve
    with fleet.Fleet() as deployment:
        run_demo(deployment)
        if not keeps_running:
            return
        print(f"platform: {deployment.platform}")
        for vm in deployment.vms.values():
            print(f"{vm.name}: callers http://{vm.callers}")
        print(f"key: {deployment.keys['coop']}; stop with Ctrl-C")
        try:
            while True:
                time.sleep(1)
        except KeyboardInterrupt:
            print("stopped")


if __name__ == "__main__":
    main()
