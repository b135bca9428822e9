#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[[ -f target/moorstage-forwarding.jar && -f target/review-2/review2/Case.class ]] || exit 2
TROUBLE="${TROUBLE:-1}" exec java -cp target/review-2 review2.Case successor review/8
