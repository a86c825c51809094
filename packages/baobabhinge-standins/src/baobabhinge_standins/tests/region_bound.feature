Feature: Work that is bound to a region stays there

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
    When every log, journal and memory outside west is searched
    Then no bound text is found there, but it is found in west
