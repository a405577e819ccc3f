import { Chart } from "@knapweedwood/core.charts/chart";
import type { Link } from "@knapweedwood/links.calls/link";
import type { LinkEvent } from "./linkEvent.js";

/** The states of a link. */
export const linkChart = Chart.read<Link["state"], LinkEvent>(new URL("../../charts/link.json", import.meta.url));
