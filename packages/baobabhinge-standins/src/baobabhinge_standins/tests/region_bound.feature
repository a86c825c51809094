Feature: Work that is bound to a region stays there

  Scenario: A bound prompt that crashes engines
    Given three regions with a data rule for the dealers of west
    When a bound prompt crashes the engines of west
    Then the engines of west serve again

  Scenario Outline: A bound trade that may run once
    Given three regions with a data rule for the dealers of west
    When a bound trade comes to west-gateway-1 with <key>
    Then it ends as <outcome>

    Examples:
      | key                                | outcome                 |
      | a key of west                      | answered                |
      | an Idempotency-Key                 | key-required unknown    |
      | a key whose owner is in east       | outcome-unknown unknown |
      | a key whose witness is in south    | outcome-unknown unknown |
      | a key whose parties are in east    | outcome-unknown unknown |

  Scenario Outline: Bound work is answered at home or refused
    Given three regions with a data rule for the dealers of west
    When a <kind> call bound by <binding> comes to <entry> while <failure>
    Then it is <outcome>

    Examples:
      | kind       | binding | entry           | failure                  | outcome                 |
      | whole      | header  | west-gateway-1  | nothing fails            | answered                |
      | streamed   | rule    | west-gateway-1  | nothing fails            | answered                |
      | plain      | header  | west-gateway-1  | nothing fails            | answered                |
      | plain      | rule    | west-gateway-1  | nothing fails            | answered                |
      | whole      | header  | east-gateway-1  | nothing fails            | sent to west unread     |
      | streamed   | rule    | east-gateway-1  | nothing fails            | sent to west unread     |
      | plain      | header  | south-gateway-1 | nothing fails            | sent to west unread     |
      | plain      | rule    | south-gateway-1 | nothing fails            | sent to west unread     |
      | streamed   | rule    | west-gateway-1  | west is cut off          | answered                |
      | plain      | header  | west-gateway-1  | west is cut off          | answered                |
      | whole      | rule    | west-gateway-1  | west is full             | answered or not run     |
      | streamed   | rule    | west-gateway-1  | its engines break off    | broken off visibly      |
      | whole      | rule    | west-gateway-1  | its engines break off    | unknown                 |
      | whole      | header  | west-gateway-1  | its backends are dead    | not run                 |
      | plain      | rule    | west-gateway-1  | its backends are dead    | not run                 |

  Scenario: No process outside the region has seen the bound text
    Given three regions with a data rule for the dealers of west
    When a trade that is free to leave is sent with an Idempotency-Key
    And every log, journal and memory outside west is searched
    Then no bound text and no digest of it is found there, but both in west
    And the key-value service has the binding of the free trade alone
