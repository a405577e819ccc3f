import type { Random } from "@knapweedwood/core.random/random";
import { callerPaths } from "@knapweedwood/platform.standins/callerPaths";
import { get } from "node:http";
import type { SoakGateway } from "./soakGateway.js";

const CHECK_INTERVAL_MS = 500;
const CHECK_TIMEOUT_MS = 400;
const MISSES_UNTIL_UNREADY = 2;
const HTTP_OK = 200;

/** A load balancer: assigns new connections to gateways that report readiness. Open connections are not moved. */
export class SoakBalancer {
    private readonly gateways: SoakGateway[];
    private readonly random: Random;
    private readonly misses = new Map<SoakGateway, number>();
    private readonly timer: NodeJS.Timeout;

    constructor(opts: { gateways: SoakGateway[]; random: Random; }) {
        this.gateways = opts.gateways;
        this.random = opts.random;
        this.timer = setInterval(() => this.gateways.forEach(gateway => this.check(gateway)), CHECK_INTERVAL_MS);
    }

    /** Returns a random gateway for a new connection. */
    pick(): SoakGateway {
        const ready = this.gateways.filter(gateway => (this.misses.get(gateway) ?? 0) < MISSES_UNTIL_UNREADY);
        // With fewer than half of the gateways ready, the balancer uses all of them.
        const candidates = ready.length * 2 < this.gateways.length ? this.gateways : ready;
        return candidates[this.random.nextInteger(candidates.length)]!;
    }

    close(): void {
        clearInterval(this.timer);
    }

    private check(gateway: SoakGateway): void {
        const miss = () => this.misses.set(gateway, (this.misses.get(gateway) ?? 0) + 1);
        const request = get(
            {
                host: gateway.host,
                port: gateway.readinessPort,
                path: callerPaths.readiness,
                timeout: CHECK_TIMEOUT_MS,
                agent: false,
            },
            response => {
                response.resume();
                if (response.statusCode === HTTP_OK) {
                    this.misses.set(gateway, 0);
                }
                else {
                    miss();
                }
            },
        );
        request.on("timeout", () => request.destroy());
        request.on("error", miss);
    }
}
